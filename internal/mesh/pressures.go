package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/internal/calllink"
)

const (
	// thousandths is the unit in which pressures travel between nodes.
	thousandths = 1000
	// toldFor is the time for which a pressure stands as it was told.
	toldFor = 300 * time.Millisecond
	// decayTime is the time in which an older pressure falls to a third: where all
	// is refused, no reply brings a newer one.
	decayTime = 500 * time.Millisecond
	// forgetAfter is the age at which a pressure counts no more.
	forgetAfter = 5 * time.Second
)

// chainPressures knows the pressure in the chain of each route, as the nodes of the route's
// endpoints tell, and how many requests are let in under it.
type chainPressures struct {
	now func() time.Duration

	mu     sync.Mutex
	routes map[string]*routePressure
}

type routePressure struct {
	inner    bool
	told     map[string]toldPressure // by VM
	throttle *pressure.Throttle
}

type toldPressure struct {
	pressure float64
	at       time.Duration
}

func newChainPressures(now func() time.Duration) *chainPressures {
	return &chainPressures{now: now, routes: make(map[string]*routePressure)}
}

// take takes in what the node of a VM told of a route.
func (t *chainPressures) take(route, vm string, load *calllink.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.routes[route]
	if !ok {
		r = &routePressure{told: make(map[string]toldPressure), throttle: pressure.NewThrottle(t.now())}
		t.routes[route] = r
	}
	r.inner = load.Inner
	r.told[vm] = toldPressure{pressure: float64(load.Pressure) / thousandths, at: t.now()}
}

// inner reports whether only endpoints make calls of a route.
func (t *chainPressures) inner(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	return r != nil && r.inner
}

// pressure returns the pressure in the chain of a route.
func (t *chainPressures) pressure(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 0
	}
	return r.pressure(t.now())
}

// share returns the share of the requests of a route that is let in.
func (t *chainPressures) share(route string, target float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 1
	}
	now := t.now()
	r.throttle.Advance(now, r.pressure(now), target)
	return r.throttle.Share()
}

// pressure returns the mean of what the nodes told lately.
func (r *routePressure) pressure(now time.Duration) float64 {
	sum, count := 0.0, 0
	for vm, told := range r.told {
		age := now - told.at
		if age > forgetAfter {
			delete(r.told, vm)
			continue
		}
		sum += told.pressure * math.Exp(-float64(max(age-toldFor, 0))/float64(decayTime))
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

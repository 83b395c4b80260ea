package proxy

import (
	"maps"
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
	toldFor = 200 * time.Millisecond
	// decayTime is the time in which an older pressure falls to a third: where all
	// is refused, no reply brings a newer one.
	decayTime = 250 * time.Millisecond
	// forgetAfter is the age at which a pressure counts no more.
	forgetAfter = 5 * time.Second
)

// chainPressures knows the pressure in the chain of each route, as the nodes of the route's
// endpoints tell.
type chainPressures struct {
	now func() time.Duration

	mu     sync.Mutex
	routes map[string]*routePressure
}

type routePressure struct {
	inner bool
	deep  bool
	told  map[string]toldPressure // by VM
}

type toldPressure struct {
	pressure float64
	refuses  float64 // share of its calls that the endpoint refuses
	at       time.Duration
}

func newChainPressures(now func() time.Duration) *chainPressures {
	return &chainPressures{now: now, routes: make(map[string]*routePressure)}
}

// take takes in what the node of a VM told of a route.
func (t *chainPressures) take(route, vm string, load *calllink.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(route)
	delete(r.told, unreachable)
	if load.Leaving {
		delete(r.told, vm)
		return
	}
	r.inner, r.deep = load.InternalOnly, load.CallsDownstream
	r.told[vm] = toldPressure{
		pressure: float64(load.PressurePermille) / thousandths,
		refuses:  float64(load.RefusalPermille) / thousandths,
		at:       t.now(),
	}
}

// unreachable is the name under which a route tells that none of its endpoints can
// be reached.
const unreachable = ""

// absent takes in that no endpoint of a route can be reached: it is as if all of
// them refused everything.
func (t *chainPressures) absent(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(route)
	clear(r.told)
	r.told[unreachable] = toldPressure{refuses: 1, at: t.now()}
}

func (t *chainPressures) route(name string) *routePressure {
	r, ok := t.routes[name]
	if !ok {
		r = &routePressure{told: make(map[string]toldPressure)}
		t.routes[name] = r
	}
	return r
}

// retain forgets the routes that are not known any more.
func (t *chainPressures) retain(known map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.routes, func(route string, _ *routePressure) bool { return !known[route] })
}

// inner reports whether only endpoints make calls of a route.
func (t *chainPressures) inner(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	return r != nil && r.inner
}

// deep reports whether endpoints make calls of their own for a route.
func (t *chainPressures) deep(route string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	return r != nil && r.deep
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

// pressure returns the mean of what the nodes told lately. A node that tells
// nothing any more, while others do, counts less and less.
func (r *routePressure) pressure(now time.Duration) float64 {
	sum, weights, newest, refuses := 0.0, 0.0, forgetAfter, 1.0
	for vm, told := range r.told {
		age := now - told.at
		if age > forgetAfter {
			delete(r.told, vm)
			continue
		}
		weight := decay(age)
		sum += told.pressure * weight
		weights += weight
		newest = min(newest, age)
		refuses = min(refuses, told.refuses)
	}
	if weights == 0 {
		return 0
	}
	return max(sum/weights, pressure.FromRefusalShare(refuses)) * decay(newest)
}

// decay returns what is left of a pressure of some age.
func decay(age time.Duration) float64 {
	return math.Exp(-float64(max(age-toldFor, 0)) / float64(decayTime))
}

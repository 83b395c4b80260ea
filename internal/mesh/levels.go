package mesh

import (
	"math"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/calllink"
)

const (
	// thousandths is the unit in which levels travel between nodes.
	thousandths = 1000
	// toldFor is the time for which a level stands as it was told.
	toldFor = 500 * time.Millisecond
	// relaxPerSecond is the ranks by which an older level opens in a second: where
	// all is refused, no reply brings a newer one.
	relaxPerSecond = 1.0
	// forgetAfter is the age at which a level counts no more.
	forgetAfter = 5 * time.Second
)

// levels knows how important a request of a route has to be to be let in, as
// the nodes of the route's endpoints tell.
type levels struct {
	now func() time.Duration

	mu     sync.Mutex
	routes map[string]*routeLevel
}

type routeLevel struct {
	inner bool
	told  map[string]toldLevel // by VM
}

type toldLevel struct {
	level float64
	at    time.Duration
}

func newLevels(now func() time.Duration) *levels {
	return &levels{now: now, routes: make(map[string]*routeLevel)}
}

// take takes in what the node of a VM told of a route.
func (l *levels) take(route, vm string, load *calllink.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.routes[route]
	if !ok {
		r = &routeLevel{told: make(map[string]toldLevel)}
		l.routes[route] = r
	}
	r.inner = load.Inner
	r.told[vm] = toldLevel{level: float64(load.Admitted) / thousandths, at: l.now()}
}

// inner reports whether only endpoints make calls of a route.
func (l *levels) inner(route string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	return r != nil && r.inner
}

// level returns the level up to which requests of a route are let in: the mean
// of what its nodes told lately.
func (l *levels) level(route string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		return math.Inf(1)
	}
	now := l.now()
	sum, count := 0.0, 0
	for vm, t := range r.told {
		age := now - t.at
		if age > forgetAfter {
			delete(r.told, vm)
			continue
		}
		sum += t.level + max(age-toldFor, 0).Seconds()*relaxPerSecond
		count++
	}
	if count == 0 {
		return math.Inf(1)
	}
	return sum / float64(count)
}

package proxy

import (
	"maps"
	"sync"

	"github.com/galenacart/galenacart/internal/fleetview"
)

const (
	// callCountMax is the number of calls of a route at which all counts are halved, so
	// that recent calls weigh more.
	callCountMax = 512
	// expectedCallsMin is the least number of calls that a service would have sent if
	// clients made them. Below it, missing calls are not significant.
	expectedCallsMin = 8
	// shortfallDivisor defines missing calls: a service that sends fewer than
	// 1/shortfallDivisor of the expected calls counts as sending none.
	shortfallDivisor = 8
)

// callOrigins counts, at the node of an endpoint, which services the calls of each route
// come from. Clients are spread evenly over the nodes of all services, so a route that
// some service never calls is called by endpoints only.
type callOrigins struct {
	mu     sync.Mutex
	routes map[string]*originCount
}

type originCount struct {
	total    int
	services map[string]int
}

func newCallOrigins() *callOrigins {
	return &callOrigins{routes: make(map[string]*originCount)}
}

// record counts a call of a route and reports whether the route is probably internal, that
// is, called by endpoints only.
func (o *callOrigins) record(route, service string, v *fleetview.View) (isInternal bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.routes[route]
	if !ok {
		c = &originCount{services: make(map[string]int)}
		o.routes[route] = c
	}
	c.total++
	c.services[service]++
	if c.total >= callCountMax {
		c.halve()
	}
	return c.isInternal(v)
}

// retain removes the routes that are not in known.
func (o *callOrigins) retain(known map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.routes, func(route string, _ *originCount) bool { return !known[route] })
}

func (c *originCount) isInternal(v *fleetview.View) bool {
	for service, members := range v.ByService {
		expected := c.total * len(members) / max(len(v.ByVM), 1)
		if expected >= expectedCallsMin && c.services[service] < expected/shortfallDivisor {
			return true
		}
	}
	return false
}

func (c *originCount) halve() {
	c.total = 0
	for service := range c.services {
		c.services[service] /= 2
		c.total += c.services[service]
	}
}

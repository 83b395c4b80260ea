package proxy

import (
	"maps"
	"sync"

	"github.com/galenacart/galenacart/internal/fleetview"
)

const (
	// originsMax is the number of calls of a route at which older ones begin to
	// count less.
	originsMax = 512
	// originsExpected is the number of calls that a service would have sent if
	// clients made them, from which on their lack tells something.
	originsExpected = 8
	// originsLack is the part of the expected calls, one in originsLack, under
	// which a service counts as sending none.
	originsLack = 8
)

// origins counts, at the node of an endpoint, from which services the calls of
// each route come. Clients stand beside the endpoints of all services alike; a
// route that some service never asks for is called by endpoints only.
type origins struct {
	mu     sync.Mutex
	routes map[string]*originCount
}

type originCount struct {
	total    int
	services map[string]int
}

func newOrigins() *origins {
	return &origins{routes: make(map[string]*originCount)}
}

// take counts a call of a route and reports whether only endpoints make them,
// as far as can be told.
func (o *origins) take(route, service string, v *fleetview.View) (inner bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, ok := o.routes[route]
	if !ok {
		c = &originCount{services: make(map[string]int)}
		o.routes[route] = c
	}
	c.total++
	c.services[service]++
	if c.total >= originsMax {
		c.halve()
	}
	return c.inner(v)
}

// retain forgets the routes that are not known any more.
func (o *origins) retain(known map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.routes, func(route string, _ *originCount) bool { return !known[route] })
}

func (c *originCount) inner(v *fleetview.View) bool {
	for service, members := range v.ByService {
		expected := c.total * len(members) / max(len(v.ByVM), 1)
		if expected >= originsExpected && c.services[service] < expected/originsLack {
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

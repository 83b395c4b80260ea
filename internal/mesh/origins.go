package mesh

import "sync"

const (
	// originsMin is the number of calls from which on their origins tell.
	originsMin = 16
	// originsMax is the number at which older calls begin to count less.
	originsMax = 512
	// oneService is the share of a route's calls, in percent, that come from one
	// service when only endpoints make them. Clients stand beside all services.
	oneService = 98
)

// origins counts, at the node of an endpoint, from which services the calls of
// each route come.
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
func (o *origins) take(route, service string) (inner bool) {
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
	return c.inner()
}

func (c *originCount) inner() bool {
	if c.total < originsMin {
		return false
	}
	for _, n := range c.services {
		if n*100 >= c.total*oneService {
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

package traffic

import (
	"sync"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
	"github.com/galenacart/galenacart/internal/catalogue"
)

// chain guards shedding.Chain for use by many calls.
type chain struct {
	mu    sync.Mutex
	calls *shedding.CalleeTable
}

func newChain() *chain {
	return &chain{calls: shedding.NewCalleeTable()}
}

// called notes that the endpoint makes calls of a route while it runs one of
// the route named parent.
func (c *chain) called(parent string, route *catalogue.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls.RecordCall(parent, shedding.Callee{Service: route.Service, Route: route.Name})
}

// threshold returns the first priority that is shed below a route.
func (c *chain) threshold(route string, below func(shedding.Callee) priority.Priority) priority.Priority {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls.Threshold(route, below)
}

// shedBelow returns the first priority that is shed below a route of the local
// endpoint.
func (t *Traffic) shedBelow(route string) priority.Priority {
	v := t.config.View.Load()
	return t.chain.threshold(route, func(c shedding.Callee) priority.Priority {
		return t.targets.service(c.Service).threshold(v.ByService[c.Service], c.Route)
	})
}

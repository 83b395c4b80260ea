package traffic

import (
	"sync"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
	"github.com/galenacart/galenacart/internal/catalogue"
)

// calleeTable is a shedding.CalleeTable for concurrent use.
type calleeTable struct {
	mu    sync.Mutex
	table *shedding.CalleeTable
}

func newCalleeTable() *calleeTable {
	return &calleeTable{table: shedding.NewCalleeTable()}
}

// recordCall records that the endpoint calls route while it runs a call of the
// route named parent.
func (c *calleeTable) recordCall(parent string, route *catalogue.Route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RecordCall(parent, shedding.Callee{Service: route.Service, Route: route.Name})
}

// threshold returns the first priority that is shed downstream of a route.
func (c *calleeTable) threshold(route string, calleeThreshold func(shedding.Callee) priority.Priority) priority.Priority {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Threshold(route, calleeThreshold)
}

// downstreamThreshold returns the first priority that is shed downstream of a
// route of the local endpoint.
func (t *Traffic) downstreamThreshold(route string) priority.Priority {
	v := t.config.View.Load()
	return t.calleeTable.threshold(route, func(c shedding.Callee) priority.Priority {
		return t.targets.serviceTargets(c.Service).threshold(v.ByService[c.Service], c.Route)
	})
}

package shedding

import (
	"slices"

	"github.com/galenacart/galenacart/decision/priority"
)

// Callee is a route of another service that the endpoint calls.
type Callee struct {
	// Service is the name of the service.
	Service string
	// Route is the name of the route.
	Route string
}

// CalleeTable records at the node of an endpoint which calls each of the endpoint's
// routes makes, so that a request is refused at its first hop instead of its last. It is
// not safe for concurrent use.
type CalleeTable struct {
	routes map[string][]Callee
}

// NewCalleeTable returns an empty CalleeTable.
func NewCalleeTable() *CalleeTable {
	return &CalleeTable{routes: make(map[string][]Callee)}
}

// RecordCall records that the endpoint called callee while it ran the route named
// parent.
func (c *CalleeTable) RecordCall(parent string, callee Callee) {
	if !slices.Contains(c.routes[parent], callee) {
		c.routes[parent] = append(c.routes[parent], callee)
	}
}

// Threshold returns the first priority that any callee of the route named parent sheds.
// below returns the first priority that every endpoint of a callee sheds.
func (c *CalleeTable) Threshold(parent string, below func(Callee) priority.Priority) priority.Priority {
	lowest := priority.Lowest
	for _, callee := range c.routes[parent] {
		lowest = min(lowest, below(callee))
	}
	return lowest
}

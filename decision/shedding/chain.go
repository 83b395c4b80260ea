package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/boundary"
	"github.com/galenacart/galenacart/decision/priority"
)

// Chain remembers, at the node of an endpoint, which calls are shed below each
// of the endpoint's routes, so that a whole request is refused at its first hop
// instead of its last. It is not safe for concurrent use.
type Chain struct {
	routes map[string]route
}

// route holds the boundaries below one route of the endpoint, by the route of
// the endpoint's own call.
type route map[string]*boundary.Boundary

// NewChain returns an empty Chain.
func NewChain() *Chain {
	return &Chain{routes: make(map[string]route)}
}

// Shed takes in that every endpoint below shed a call named child that the
// endpoint made while it ran a call named parent.
func (c *Chain) Shed(now time.Duration, parent, child string, p priority.Priority) {
	c.follow(parent, child).Shed(now, p)
}

// Ran takes in that a call below was run.
func (c *Chain) Ran(parent, child string, p priority.Priority) {
	if b, known := c.routes[parent][child]; known {
		b.Ran(p)
	}
}

// Threshold returns the first priority that is shed below the route.
func (c *Chain) Threshold(now time.Duration, parent string) priority.Priority {
	tightest := priority.Lowest
	for _, b := range c.routes[parent] {
		tightest = min(tightest, b.Current(now))
	}
	return tightest
}

// Refuse reports whether a call of priority p would be shed below the route. The
// boundary opens by itself, so no call has to ask whether it still holds.
func (c *Chain) Refuse(now time.Duration, parent string, p priority.Priority) bool {
	return !p.Before(c.Threshold(now, parent)) && p != priority.Lowest
}

func (c *Chain) follow(parent, child string) *boundary.Boundary {
	r, known := c.routes[parent]
	if !known {
		r = make(route)
		c.routes[parent] = r
	}
	b, known := r[child]
	if !known {
		b = &boundary.Boundary{}
		r[child] = b
	}
	return b
}

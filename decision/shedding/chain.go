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
	routes map[string]*route
}

// route is what is known below one route of the endpoint.
type route struct {
	below    map[string]*boundary.Boundary // by the route of the endpoint's own call
	probedAt time.Duration
}

// NewChain returns an empty Chain.
func NewChain() *Chain {
	return &Chain{routes: make(map[string]*route)}
}

// Shed takes in that every endpoint below shed a call named child that the
// endpoint made while it ran a call named parent.
func (c *Chain) Shed(now time.Duration, parent, child string, p priority.Priority) {
	c.follow(parent, child).Shed(now, p)
}

// Ran takes in that a call below was run.
func (c *Chain) Ran(parent, child string, p priority.Priority) {
	r, known := c.routes[parent]
	if !known {
		return
	}
	if b, known := r.below[child]; known {
		b.Ran(p)
	}
}

// Threshold returns the first priority that is shed below the route.
func (c *Chain) Threshold(now time.Duration, parent string) priority.Priority {
	tightest := priority.Lowest
	r, known := c.routes[parent]
	if !known {
		return tightest
	}
	for _, b := range r.below {
		tightest = min(tightest, b.Current(now))
	}
	return tightest
}

// Refuse reports whether a call of priority p would be shed below the route.
// Now and then it lets a call pass to ask whether the threshold still holds.
func (c *Chain) Refuse(now time.Duration, parent string, p priority.Priority) bool {
	threshold := c.Threshold(now, parent)
	if threshold == priority.Lowest || p.Before(threshold) {
		return false
	}
	r := c.routes[parent]
	if now-r.probedAt < ProbeInterval {
		return true
	}
	r.probedAt = now
	return false
}

func (c *Chain) follow(parent, child string) *boundary.Boundary {
	r, known := c.routes[parent]
	if !known {
		r = &route{below: make(map[string]*boundary.Boundary)}
		c.routes[parent] = r
	}
	b, known := r.below[child]
	if !known {
		b = &boundary.Boundary{}
		r.below[child] = b
	}
	return b
}

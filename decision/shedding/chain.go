package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

// Chain remembers, at the node of an endpoint, which calls of each route were
// refused further down, so that a whole request is refused at its first hop
// instead of its last. It is not safe for concurrent use.
type Chain struct {
	routes map[string]*refusal
}

// refusal is what the calls below one route met last.
type refusal struct {
	at        time.Duration
	threshold priority.Priority
	probedAt  time.Duration
}

// NewChain returns an empty Chain.
func NewChain() *Chain {
	return &Chain{routes: make(map[string]*refusal)}
}

// Refused takes in that a call below the route was shed.
func (c *Chain) Refused(now time.Duration, route string, p priority.Priority) {
	r, known := c.routes[route]
	if !known {
		r = &refusal{threshold: priority.Lowest}
		c.routes[route] = r
	}
	if now-r.at >= Expiry {
		r.threshold = priority.Lowest
	}
	if p.Before(r.threshold) {
		r.threshold = p
	}
	r.at = now
}

// Answered takes in that a call below the route was run.
func (c *Chain) Answered(route string, p priority.Priority) {
	r, known := c.routes[route]
	if !known || p.Before(r.threshold) {
		return
	}
	r.threshold = p
	if p < priority.Lowest {
		r.threshold++
	}
}

// Threshold returns the first priority that is shed below the route.
func (c *Chain) Threshold(now time.Duration, route string) priority.Priority {
	r, known := c.routes[route]
	if !known || now-r.at >= Expiry {
		return priority.Lowest
	}
	return r.threshold
}

// Refuse reports whether a call of priority p would be shed below the route.
// Now and then it lets a call pass to ask whether the threshold still holds.
func (c *Chain) Refuse(now time.Duration, route string, p priority.Priority) bool {
	threshold := c.Threshold(now, route)
	if threshold == priority.Lowest || p.Before(threshold) {
		return false
	}
	r := c.routes[route]
	if now-r.probedAt < ProbeInterval {
		return true
	}
	r.probedAt = now
	return false
}

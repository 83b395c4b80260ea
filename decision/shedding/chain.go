package shedding

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// chainExpiry is the time after which a report counts no more.
	chainExpiry = 250 * time.Millisecond
	// chainProbeInterval is the time between two calls of a route that pass its
	// threshold to ask whether it still holds.
	chainProbeInterval = 25 * time.Millisecond
)

// Chain remembers, at the node of an endpoint, which calls are shed below each
// of the endpoint's routes, so that a whole request is refused at its first hop
// instead of its last. It is not safe for concurrent use.
type Chain struct {
	routes map[string]*route
}

// route is what is known below one route of the endpoint.
type route struct {
	below    map[string]*below // by the route of the endpoint's own call
	probedAt time.Duration
}

// below is what is known of one kind of call that the endpoint makes.
type below struct {
	at        time.Duration
	threshold priority.Priority
}

// NewChain returns an empty Chain.
func NewChain() *Chain {
	return &Chain{routes: make(map[string]*route)}
}

// Report takes in the first priority that every endpoint below sheds, after a
// call named child that the endpoint made while it ran a call named parent.
func (c *Chain) Report(now time.Duration, parent, child string, threshold priority.Priority) {
	r, known := c.routes[parent]
	if !known {
		r = &route{below: make(map[string]*below)}
		c.routes[parent] = r
	}
	b, known := r.below[child]
	if !known {
		b = &below{}
		r.below[child] = b
	}
	b.at = now
	b.threshold = threshold
}

// Threshold returns the first priority that is shed below the route.
func (c *Chain) Threshold(now time.Duration, parent string) priority.Priority {
	lowest := priority.Lowest
	r, known := c.routes[parent]
	if !known {
		return lowest
	}
	for _, b := range r.below {
		if now-b.at < chainExpiry && b.threshold.Before(lowest) {
			lowest = b.threshold
		}
	}
	return lowest
}

// Refuse reports whether a call of priority p would be shed below the route.
// Now and then it lets a call pass to ask whether the threshold still holds.
func (c *Chain) Refuse(now time.Duration, parent string, p priority.Priority) bool {
	threshold := c.Threshold(now, parent)
	if threshold == priority.Lowest || p.Before(threshold) {
		return false
	}
	r := c.routes[parent]
	if now-r.probedAt < chainProbeInterval {
		return true
	}
	r.probedAt = now
	return false
}

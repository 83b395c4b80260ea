package mesh

import (
	"maps"
	"sync"
)

// crossedWeight is the weight of one call in the mean of its route: a second or
// less of the calls of one endpoint.
const crossedWeight = 1.0 / 64

// crossings knows how many calls between availability zones a call of each route
// causes: its own, if it leaves the zone, and those that are made below it.
type crossings struct {
	mu     sync.Mutex
	routes map[string]float64
}

func newCrossings() *crossings {
	return &crossings{routes: make(map[string]float64)}
}

// take takes in a call that was replied to. below is what its run causes.
func (c *crossings) take(route string, left bool, below float64) {
	if left {
		below++
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[route] += (below - c.routes[route]) * crossedWeight
}

// perCall returns the mean of the last calls of a route.
func (c *crossings) perCall(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routes[route]
}

// retain forgets the routes that are not known any more.
func (c *crossings) retain(known map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.routes, func(route string, _ float64) bool { return !known[route] })
}

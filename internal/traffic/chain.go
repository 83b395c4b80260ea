package traffic

import (
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
)

// chain guards shedding.Chain for use by many calls.
type chain struct {
	now func() time.Duration

	mu    sync.Mutex
	below *shedding.Chain
}

func newChain(now func() time.Duration) *chain {
	return &chain{now: now, below: shedding.NewChain()}
}

func (c *chain) shed(parent, child string, p priority.Priority) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.below.Shed(c.now(), parent, child, p)
}

func (c *chain) ran(parent, child string, p priority.Priority) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.below.Ran(parent, child, p)
}

func (c *chain) refuse(route string, p priority.Priority) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.below.Refuse(c.now(), route, p)
}

func (c *chain) threshold(route string) priority.Priority {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.below.Threshold(c.now(), route)
}

package event

import "sync/atomic"

// Clock is a logical (Lamport) clock. It orders events of processes whose wall
// clocks differ.
type Clock struct {
	now atomic.Uint64
}

// Tick advances the clock and returns the new time.
func (c *Clock) Tick() uint64 {
	return c.now.Add(1)
}

// Observe advances the clock to at least a time received with a message.
func (c *Clock) Observe(received uint64) {
	for {
		now := c.now.Load()
		if received <= now || c.now.CompareAndSwap(now, received) {
			return
		}
	}
}

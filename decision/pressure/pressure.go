// Package pressure turns how full an endpoint is into the level of importance
// up to which requests are let in at the edge. It answers a lasting overload of
// the deepest service of a chain: work is refused where it begins, the least
// important first and only as much as is too much, so that what was begun is
// finished.
//
// The level counts ranks: with a level of 2.3 all requests of ranks 0 and 1 are
// let in and three in ten of rank 2.
package pressure

import "time"

const (
	// window is the time over which the load is averaged before each step.
	window = 50 * time.Millisecond
	// target is the share of the slots that is to be taken. The rest takes
	// bursts without a queue.
	target = 0.92
	// closeGain and openGain are the ranks by which the level moves in a second
	// for each unit that the load is off its target. A chain takes about half a
	// second to show a step, which bounds both.
	closeGain = 1.2
	openGain  = 1.0
	// excessMax and lackMax bound the part of a load that counts as off target.
	excessMax = 1.0
	lackMax   = 0.4
	// queueGain is the ranks by which a queue as long as the slots lowers the
	// level at once, before the slower steps take over.
	queueGain = 0.4
)

// Controller follows the load of one endpoint. It is not safe for concurrent use.
type Controller struct {
	ranks   float64
	level   float64
	load    float64 // average of the last window
	area    float64 // of the load over the time of this window, in seconds
	began   time.Duration
	at      time.Duration
	current float64
}

// New returns a controller for a number of ranks that lets everything in.
func New(ranks int) *Controller {
	return &Controller{ranks: float64(ranks), level: float64(ranks)}
}

// SetRanks takes in the number of ranks that requests have.
func (c *Controller) SetRanks(ranks int) {
	if c.level >= c.ranks {
		c.level = float64(ranks)
	}
	c.ranks = float64(ranks)
	c.level = min(c.level, c.ranks)
}

// Observe takes in that from now on a number of calls run or wait at an endpoint
// that may run limit calls at once.
func (c *Controller) Observe(now time.Duration, busy, limit int) {
	c.advance(now)
	c.current = float64(busy) / float64(max(limit, 1))
}

// Level returns the level of importance up to which requests are let in.
func (c *Controller) Level(now time.Duration) float64 {
	c.advance(now)
	return max(c.level-queueGain*max(c.load-1, 0), 0)
}

// advance takes a step for each window that is over.
func (c *Controller) advance(now time.Duration) {
	for now-c.began >= window {
		end := c.began + window
		c.area += c.current * (end - c.at).Seconds()
		c.step(c.area / window.Seconds())
		c.began, c.at, c.area = end, end, 0
		if c.level >= c.ranks && now-c.began > time.Second && c.current < target {
			c.began, c.at = now, now // nothing happens in a long calm
		}
	}
	c.area += c.current * (now - c.at).Seconds()
	c.at = now
}

func (c *Controller) step(load float64) {
	c.load = load
	off := load - target
	gain := closeGain
	if off < 0 {
		gain = openGain
	}
	off = min(max(off, -lackMax), excessMax)
	c.level = min(max(c.level-gain*off*window.Seconds(), 0), c.ranks)
}

// Package boundary follows the boundary between the priorities that are run and
// those that are shed, by what becomes of single calls.
package boundary

import (
	"math"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// classSpan is the number of priorities of one class.
	classSpan = 1 << 24
	// openDoubling is the time in which the opening of a threshold doubles.
	openDoubling = 50 * time.Millisecond
	// openStart is the part of a class that scales the opening.
	openStart = classSpan / 16
	// openTime is the time after which nothing is shed any more.
	openTime = 400 * time.Millisecond
	// callWeight is the weight of one call on the wrong side of the
	// threshold.
	callWeight = 1.0 / 8
)

// Boundary is the first priority that is shed. The zero value sheds nothing. It
// is not safe for concurrent use. Without further shedding it opens, slowly at first so that
// callers don't come back all at once.
type Boundary struct {
	value float64
	at    time.Duration // last time that a call was shed
	set   bool
}

// Shed takes in that a call of priority p was shed.
func (b *Boundary) Shed(now time.Duration, p priority.Priority) {
	at := float64(p)
	if b.Current(now) == priority.Lowest {
		b.value = at
	} else if at < b.value {
		b.value += (at - b.value) * callWeight
	}
	b.at = now
	b.set = true
}

// Ran takes in that a call of priority p was run.
func (b *Boundary) Ran(p priority.Priority) {
	at := float64(p)
	if at > b.value {
		b.value += (at - b.value) * callWeight
	}
}

// Current returns the first priority that is shed.
func (b *Boundary) Current(now time.Duration) priority.Priority {
	since := now - b.at
	if !b.set || since >= openTime {
		return priority.Lowest
	}
	opened := b.value
	if since > 0 {
		doublings := float64(since) / float64(openDoubling)
		opened += openStart * (math.Exp2(doublings) - 1)
	}
	if opened >= float64(priority.Lowest) {
		return priority.Lowest
	}
	return priority.Priority(opened)
}

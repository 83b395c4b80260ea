// Package boundary estimates the boundary between the priorities that are run and those
// that are shed, from the outcomes of individual calls.
package boundary

import (
	"math"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// classSpan is the number of priorities of one class.
	classSpan = 1 << 24
	// openDoubling is the time in which the opening of the boundary doubles.
	openDoubling = 50 * time.Millisecond
	// openDivisor scales the opening: the range of the class that is run, divided by
	// openDivisor.
	openDivisor = 4
	// runRangeMin is the minimum range of a class that is used for scaling.
	runRangeMin = classSpan / 256
	// openTime is the time without shedding after which the boundary is fully open.
	openTime = 400 * time.Millisecond
	// callWeight is the weight of one call on the wrong side of the boundary.
	callWeight = 1.0 / 8
)

// Boundary is the first priority that is shed. The zero value sheds nothing. Without
// further shedding the boundary opens, slowly at first so that callers do not resume all
// at once. Times may be of any clock that never goes back, including one that stops while
// there is no reason to open. A Boundary is not safe for concurrent use.
type Boundary struct {
	value    float64
	lastShed time.Duration // time at which a call was last shed
	set      bool
}

// RecordShed records that a call of priority p was shed. A call beyond the boundary is
// ignored, as it would be shed anyway.
func (b *Boundary) RecordShed(now time.Duration, p priority.Priority) {
	current := b.Current(now)
	if !p.HigherThan(current) {
		return
	}
	b.value = float64(p)
	if current != priority.Lowest {
		b.value = float64(current) + (float64(p)-float64(current))*callWeight
	}
	b.lastShed = now
	b.set = true
}

// RecordRun records that a call of priority p was run.
func (b *Boundary) RecordRun(p priority.Priority) {
	at := float64(p)
	if at > b.value {
		b.value += min(at-b.value, b.runRange()) * callWeight
	}
}

// runRange returns the range of the class at the boundary that is run. Steps of the
// boundary are relative to it, so that the load they admit is proportional to the load
// being run, whatever the overload.
func (b *Boundary) runRange() float64 {
	return max(runRangeMin, math.Mod(b.value, classSpan))
}

// Current returns the first priority that is shed.
func (b *Boundary) Current(now time.Duration) priority.Priority {
	since := now - b.lastShed
	if !b.set || since >= openTime {
		return priority.Lowest
	}
	opened := b.value
	if since > 0 {
		doublings := float64(since) / float64(openDoubling)
		opened += b.runRange() / openDivisor * (math.Exp2(doublings) - 1)
	}
	if opened >= float64(priority.Lowest) {
		return priority.Lowest
	}
	return priority.Priority(opened)
}

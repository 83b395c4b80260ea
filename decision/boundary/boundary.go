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
	// openShare scales the opening: the part of what is run of the class.
	openShare = 4
	// openMin is the least that scales the opening.
	openMin = classSpan / 256
	// openTime is the time after which nothing is shed any more.
	openTime = 400 * time.Millisecond
	// callWeight is the weight of one call on the wrong side of the
	// threshold.
	callWeight = 1.0 / 8
)

// Boundary is the first priority that is shed. The zero value sheds nothing. It
// is not safe for concurrent use. Without further shedding it opens, slowly at
// first so that callers don't come back all at once. Times are of any clock that
// never goes back, also of one that stands while there is no reason to open.
type Boundary struct {
	value float64
	at    time.Duration // last time that a call was shed
	set   bool
}

// RecordShed takes in that a call of priority p was shed. A call beyond the threshold
// tells nothing new.
func (b *Boundary) RecordShed(now time.Duration, p priority.Priority) {
	current := b.Current(now)
	if !p.Before(current) {
		return
	}
	b.value = float64(p)
	if current != priority.Lowest {
		b.value = float64(current) + (float64(p)-float64(current))*callWeight
	}
	b.at = now
	b.set = true
}

// RecordRun takes in that a call of priority p was run.
func (b *Boundary) RecordRun(p priority.Priority) {
	at := float64(p)
	if at > b.value {
		b.value += min(at-b.value, b.runs()) * callWeight
	}
}

// runs returns how much of the class at the threshold is run. Steps are relative
// to it, so that the load that they let in is too, whatever the overload.
func (b *Boundary) runs() float64 {
	return max(openMin, math.Mod(b.value, classSpan))
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
		opened += b.runs() / openShare * (math.Exp2(doublings) - 1)
	}
	if opened >= float64(priority.Lowest) {
		return priority.Lowest
	}
	return priority.Priority(opened)
}

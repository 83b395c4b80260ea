package admission

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
	// thresholdWeight is the weight of one call on the wrong side of the
	// threshold.
	thresholdWeight = 1.0 / 8
)

// threshold follows the boundary between the priorities that are run and those
// that are shed. Without further shedding it opens, slowly at first so that
// callers don't come back all at once.
type threshold struct {
	value float64
	at    time.Duration // last time that a call was shed
	set   bool
}

// shed takes in that a call of priority p was shed.
func (t *threshold) shed(now time.Duration, p priority.Priority) {
	at := float64(p)
	if t.current(now) == priority.Lowest {
		t.value = at
	} else if at < t.value {
		t.value += (at - t.value) * thresholdWeight
	}
	t.at = now
	t.set = true
}

// ran takes in that a call of priority p was run.
func (t *threshold) ran(p priority.Priority) {
	at := float64(p)
	if at > t.value {
		t.value += (at - t.value) * thresholdWeight
	}
}

// current returns the first priority that is shed.
func (t *threshold) current(now time.Duration) priority.Priority {
	since := now - t.at
	if !t.set || since >= openTime {
		return priority.Lowest
	}
	opened := t.value
	if since > 0 {
		doublings := float64(since) / float64(openDoubling)
		opened += openStart * (math.Exp2(doublings) - 1)
	}
	if opened >= float64(priority.Lowest) {
		return priority.Lowest
	}
	return priority.Priority(opened)
}

package capacity

import (
	"math"
	"time"
)

const (
	// raiseIntervalMin and raiseIntervalMax bound the time between two attempts
	// to raise the limit after a refusal.
	raiseIntervalMin = 25 * time.Millisecond
	raiseIntervalMax = 500 * time.Millisecond
	// unlimited stands for the absence of a limit.
	unlimited = math.MaxInt32
)

// refusalLimit is the limit that explicit refusals of the endpoint imply.
//
// After a refusal it is raised by one call, then by two, four and so on until
// the next refusal. After a failed attempt the interval between attempts
// doubles.
type refusalLimit struct {
	current   int // 0: no limit
	increment int
	raised    bool // since the last refusal
	nextRaise time.Duration
	interval  time.Duration
}

func (r *refusalLimit) limit() int {
	if r.current == 0 {
		return unlimited
	}
	return r.current
}

// recordRefusal records the refusal of a call that started with inFlight calls
// in flight, itself included.
func (r *refusalLimit) recordRefusal(now time.Duration, inFlight int) {
	level := max(1, inFlight-1)
	if r.current == 0 || level < r.current {
		r.current = level
	}
	if r.raised {
		r.interval = min(raiseIntervalMax, 2*r.interval)
	}
	r.interval = max(raiseIntervalMin, r.interval)
	r.increment = 1
	r.raised = false
	r.nextRaise = now + r.interval
}

// raise raises the limit if no call was refused during the interval. Above
// removeAbove the limit is removed.
func (r *refusalLimit) raise(now time.Duration, removeAbove int) {
	if r.current == 0 || now < r.nextRaise {
		return
	}
	if r.raised {
		r.increment *= 2
		r.interval = raiseIntervalMin
	}
	r.current += r.increment
	r.raised = true
	r.nextRaise = now + r.interval
	if r.current > removeAbove {
		r.current = 0
	}
}

package capacity

import (
	"math"
	"time"
)

const (
	// growIntervalMin and growIntervalMax bound the time between two attempts to
	// run more calls than were refused.
	growIntervalMin = 25 * time.Millisecond
	growIntervalMax = 500 * time.Millisecond
	// unlimited stands for no limit.
	unlimited = math.MaxInt32
)

// refusal keeps the limit that explicit refusals of the endpoint show.
//
// After a refusal it tries one more call, then two, four and so on as long as
// none is refused. Failed attempts become rarer.
type refusal struct {
	most     int // 0: no limit
	increase int
	grown    bool // since the last refusal
	growAt   time.Duration
	interval time.Duration
}

func (r *refusal) limit() int {
	if r.most == 0 {
		return unlimited
	}
	return r.most
}

// refused takes in a refusal of a call that was handed over with inFlight calls
// in flight, itself included.
func (r *refusal) refused(now time.Duration, inFlight int) {
	level := max(1, inFlight-1)
	if r.most == 0 || level < r.most {
		r.most = level
	}
	if r.grown {
		r.interval = min(growIntervalMax, 2*r.interval)
	}
	r.interval = max(growIntervalMin, r.interval)
	r.increase = 1
	r.grown = false
	r.growAt = now + r.interval
}

// grow raises the limit when no refusal came for a while. Above enough it is
// dropped.
func (r *refusal) grow(now time.Duration, enough int) {
	if r.most == 0 || now < r.growAt {
		return
	}
	if r.grown {
		r.increase *= 2
		r.interval = growIntervalMin
	}
	r.most += r.increase
	r.grown = true
	r.growAt = now + r.interval
	if r.most > enough {
		r.most = 0
	}
}

package slotqueue

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of one call in the usual time.
	usualWeight = 1.0 / 16
	// doubtAfter is the time without a call's end from which on the usual time
	// counts less and less: what is refused for it brings no newer one.
	doubtAfter = time.Second
	// doubtHalf is the time in which half of a doubted time is gone.
	doubtHalf = time.Second
)

// DurationEstimator learns how long calls of one route usually take. It answers processes that
// stood still: what ended late because of that must not have the endpoint refuse
// work for ever. The zero value knows nothing. It is not safe for concurrent use.
type DurationEstimator struct {
	mean time.Duration
	at   time.Duration // of the last end
}

// RecordEnd takes in a call that ran to its end. A call that outlived the time it was
// allowed tells no more than that: it was to be given up then.
func (u *DurationEstimator) RecordEnd(now, took, allowed time.Duration) {
	known := u.Estimate(now)
	took = min(took, max(allowed, 0))
	u.mean = known + time.Duration(float64(took-known)*usualWeight)
	u.at = now
}

// Estimate returns the usual time, or 0 when nothing is known.
func (u *DurationEstimator) Estimate(now time.Duration) time.Duration {
	doubt := max(now-u.at-doubtAfter, 0)
	return time.Duration(float64(u.mean) * math.Exp2(-doubt.Seconds()/doubtHalf.Seconds()))
}

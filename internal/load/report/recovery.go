package report

import (
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// Terms of recovery.
const (
	// RecoveryWindow is the length of the sliding window.
	RecoveryWindow = time.Second
	// RecoveryStep is the distance of two windows.
	RecoveryStep = 100 * time.Millisecond
	// RecoveryLevel is the part of the steady level that counts as recovered.
	RecoveryLevel = 0.99
	// RecoveryBound is the time that an overload may outlive its cause.
	RecoveryBound = time.Second
)

// Recovery says how long the effects of an overload outlived its cause. The
// level is the share of arrivals that were answered whole and in time, so that
// the chance in the number of arrivals plays no part.
type Recovery struct {
	// Measured says that the experiment has a steady phase with good requests
	// before the overload and something after it.
	Measured bool `json:"measured"`
	// SteadyShare is the share of good requests in the steady phases before.
	SteadyShare float64 `json:"steadyShare"`
	// Recovered says that the level was reached before the end.
	Recovered bool `json:"recovered"`
	// DurationMs is the time from the end of the overload to the start of the first
	// window at the level, in milliseconds. Without recovery it is the time to
	// the last window.
	DurationMs int64 `json:"ms"`
	// Relapses counts the later windows below the level.
	Relapses int `json:"relapses"`
	// Windows counts the later windows.
	Windows int `json:"windows"`
}

// span is a part of a run, without its end.
type span struct {
	from, to time.Duration
}

// newRecovery compares what follows an overload with the steady phases before.
func newRecovery(all []outcome.Outcome, before []span, after span) Recovery {
	var r Recovery
	var good, offered float64
	for _, s := range before {
		part, count := goodShare(all, s.from, s.to)
		good += part * float64(count)
		offered += float64(count)
	}
	if good == 0 || after.from+RecoveryWindow > after.to {
		return r
	}
	r.Measured = true
	r.SteadyShare = good / offered
	r.slide(all, after)
	return r
}

// slide moves the window over the time after the overload.
func (r *Recovery) slide(all []outcome.Outcome, after span) {
	for start := after.from; start+RecoveryWindow <= after.to; start += RecoveryStep {
		level, _ := goodShare(all, start, start+RecoveryWindow)
		back := level >= RecoveryLevel*r.SteadyShare
		switch {
		case r.Recovered:
			r.Windows++
			if !back {
				r.Relapses++
			}
		default:
			r.Recovered = back
			r.DurationMs = (start - after.from).Milliseconds()
		}
	}
}

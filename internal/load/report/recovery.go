package report

import (
	"time"

	"github.com/galenacart/galenacart/internal/load/experiment"
)

// Terms of recovery.
const (
	// RecoveryWindow is the length of the sliding window.
	RecoveryWindow = time.Second
	// RecoveryStep is the distance of two windows.
	RecoveryStep = 100 * time.Millisecond
	// RecoveryLevel is the part of the steady level that counts as recovered.
	RecoveryLevel = 0.99
)

// Recovery says how long the effects of an overload outlived its cause. The
// level is the share of arrivals that were answered whole and in time, so that
// the chance in the number of arrivals plays no part.
type Recovery struct {
	// Measured says that the experiment has a steady phase with good requests,
	// an overload and something after it.
	Measured bool `json:"measured"`
	// SteadyShare is the share of good requests in the steady phases.
	SteadyShare float64 `json:"steadyShare"`
	// Recovered says that the level was reached before the end.
	Recovered bool `json:"recovered"`
	// Ms is the time from the end of the last overload to the start of the
	// first window at the level, in milliseconds. Without recovery it is the
	// time to the last window.
	Ms int64 `json:"ms"`
	// Relapses counts the later windows below the level.
	Relapses int `json:"relapses"`
	// Windows counts the later windows.
	Windows int `json:"windows"`
}

func newRecovery(in Input) Recovery {
	var r Recovery
	var steadyGood, steadyOffered float64
	var at, overloadEnd time.Duration
	for p := range in.Experiment.Phases {
		phase := &in.Experiment.Phases[p]
		end := at + phase.Duration()
		switch phase.Kind {
		case experiment.Steady:
			part, offered := goodShare(in.Outcomes, at, end)
			steadyGood += part * float64(offered)
			steadyOffered += float64(offered)
		case experiment.Overload:
			overloadEnd = end
		default:
		}
		at = end
	}
	if steadyGood == 0 || overloadEnd == 0 || overloadEnd+RecoveryWindow > at {
		return r
	}
	r.Measured = true
	r.SteadyShare = steadyGood / steadyOffered
	r.slide(in, overloadEnd, at)
	return r
}

// slide moves the window over the time after the overload.
func (r *Recovery) slide(in Input, from, to time.Duration) {
	for start := from; start+RecoveryWindow <= to; start += RecoveryStep {
		level, _ := goodShare(in.Outcomes, start, start+RecoveryWindow)
		back := level >= RecoveryLevel*r.SteadyShare
		switch {
		case r.Recovered:
			r.Windows++
			if !back {
				r.Relapses++
			}
		default:
			r.Recovered = back
			r.Ms = (start - from).Milliseconds()
		}
	}
}

package report

import (
	"time"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// Parameters of the recovery measurement.
const (
	// RecoveryWindow is the length of the sliding window.
	RecoveryWindow = time.Second
	// RecoveryStep is the time between the starts of successive windows.
	RecoveryStep = 100 * time.Millisecond
	// RecoveryLevel is the share of the steady level that counts as recovered.
	RecoveryLevel = 0.99
	// RecoveryBound is the maximum duration of the effects of an overload after
	// its cause has ended.
	RecoveryBound = time.Second
)

// Recovery holds how long the effects of an overload persisted after its cause.
// The level is the share of arrivals that were answered completely and in time,
// so that random variation in the number of arrivals has no influence.
type Recovery struct {
	// Measured reports whether the experiment has a steady phase with good
	// requests before the overload, and at least one window after it.
	Measured bool `json:"measured"`
	// SteadyShare is the share of good requests in the steady phases before.
	SteadyShare float64 `json:"steadyShare"`
	// Recovered reports whether the level was reached before the end.
	Recovered bool `json:"recovered"`
	// DurationMs is the time from the end of the overload to the start of the first
	// window at the level, in milliseconds. Without recovery it is the time to
	// the last window.
	DurationMs int64 `json:"ms"`
	// Relapses counts the windows below the level after recovery.
	Relapses int `json:"relapses"`
	// Windows counts the windows after recovery.
	Windows int `json:"windows"`
}

// span is a half-open interval of a run.
type span struct {
	from, to time.Duration
}

// newRecovery compares the time after an overload with the steady phases before.
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
	r.scanWindows(all, after)
	return r
}

// scanWindows moves the window over the time after the overload.
func (r *Recovery) scanWindows(all []outcome.Outcome, after span) {
	for start := after.from; start+RecoveryWindow <= after.to; start += RecoveryStep {
		level, _ := goodShare(all, start, start+RecoveryWindow)
		recovered := level >= RecoveryLevel*r.SteadyShare
		switch {
		case r.Recovered:
			r.Windows++
			if !recovered {
				r.Relapses++
			}
		default:
			r.Recovered = recovered
			r.DurationMs = (start - after.from).Milliseconds()
		}
	}
}

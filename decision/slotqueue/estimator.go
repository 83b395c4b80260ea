package slotqueue

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one call in the mean duration.
	sampleWeight = 1.0 / 16
	// typicalSamples is the number of calls over which the typical duration is averaged.
	typicalSamples = 16
	// decayDelay is the time without a completed call after which the estimate starts
	// to decay. Calls refused because of a high estimate yield no newer sample.
	decayDelay = time.Second
	// decayHalfLife is the half-life of an estimate older than decayDelay.
	decayHalfLife = time.Second
)

// DurationEstimator estimates the duration of the calls of one route. Its estimate
// decays without samples: after a pause of the process, calls that ended late because
// of it must not make the endpoint refuse work permanently. The zero value is ready to
// use. It is not safe for concurrent use.
type DurationEstimator struct {
	mean      time.Duration
	updatedAt time.Duration // end of the last recorded call
	typical   time.Duration
	samples   int // of typical, at most typicalSamples
}

// RecordEnd records a call that ran to completion. Its duration is capped at the timeout
// of the call: a longer one shows that cancellation was late, not how long calls take.
func (e *DurationEstimator) RecordEnd(now, duration, timeout time.Duration) {
	previous := e.Estimate(now)
	duration = min(duration, max(timeout, 0))
	e.mean = previous + time.Duration(float64(duration-previous)*sampleWeight)
	e.updatedAt = now
	e.samples = min(e.samples+1, typicalSamples)
	e.typical += (duration - e.typical) / time.Duration(e.samples)
}

// Typical returns how long calls have taken lately, however long ago that is, or 0 if there are no samples.
// Unlike Estimate it is not drawn towards 0 by a pause or by the first samples: it is for the end of an
// endpoint or its node, where a low estimate costs calls that are interrupted, and a high one cannot last.
func (e *DurationEstimator) Typical() time.Duration {
	return e.typical
}

// Estimate returns the estimated duration, or 0 if there are no samples.
func (e *DurationEstimator) Estimate(now time.Duration) time.Duration {
	decayTime := max(now-e.updatedAt-decayDelay, 0)
	return time.Duration(float64(e.mean) * math.Exp2(-decayTime.Seconds()/decayHalfLife.Seconds()))
}

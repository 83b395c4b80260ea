// Package capacity estimates how many calls an endpoint runs concurrently.
//
// The response time of an endpoint with S slots is constant up to S calls in
// flight and grows in proportion above. The Limiter compares the response
// times at two levels of calls in flight, one shortly after the other. It does
// not keep response times for longer, so the limit stays correct when the
// endpoint becomes slower or faster as a whole.
package capacity

import (
	"math"
	"time"
)

const (
	// phaseTimeoutFactor is the number of expected durations after which a
	// phase is aborted because too few calls started or ended.
	phaseTimeoutFactor = 4
	// pauseFactor is the duration of the pause between two comparisons relative
	// to the duration of one.
	pauseFactor = 4
	// pauseFactorPinned replaces pauseFactor while the limit is the ceiling. A
	// comparison then costs throughput and can only find that the endpoint has
	// lost capacity.
	pauseFactorPinned = 16
	// pauseHeadroom is the headroom above the learned limit between
	// comparisons, as a logarithm. It keeps all slots busy when the learned
	// limit is slightly too low.
	pauseHeadroom = 0.05
	// durationWeight is the weight of one call in the moving average of call
	// durations.
	durationWeight = 1.0 / 16
)

// phase is a part of the comparison cycle.
type phase uint8

const (
	phaseMeasureHigh phase = iota // measure at the limit
	phaseMeasureLow               // measure below the limit
	phaseDrain                    // wait for the outstanding responses
	phasePause                    // run at the limit
)

// CallStart is the record of the start of a call. It is passed back to the
// Limiter when the call ends.
type CallStart struct {
	startedAt time.Duration
	// comparisonID identifies the comparison that measures the call, or is 0 if
	// none does.
	comparisonID uint32
	// inFlight is the number of calls in flight at the start, this one
	// included.
	inFlight int32
	// low is set if the call started at the lower level.
	low bool
}

// Limiter learns the limit on calls in flight at one endpoint. It is not safe
// for concurrent use.
type Limiter struct {
	ceiling      int
	knee         knee
	refusalLimit refusalLimit

	phase           phase
	phaseStart      time.Duration
	comparisonStart time.Duration
	comparisonID    uint32
	high            batch
	low             batch
	duration        float64 // moving average of call durations, in seconds
}

// NewLimiter returns a Limiter that never exceeds ceiling.
func NewLimiter(ceiling int) *Limiter {
	l := &Limiter{knee: newKnee()}
	l.SetCeiling(ceiling)
	return l
}

// SetCeiling changes the maximum limit.
func (l *Limiter) SetCeiling(ceiling int) {
	l.ceiling = max(1, ceiling)
	l.knee.setCeiling(l.ceiling)
	if !l.knee.learned {
		l.startComparison(l.phaseStart)
	}
}

// Limit returns the number of calls that may be in flight now.
func (l *Limiter) Limit() int {
	return min(l.ceiling, l.refusalLimit.limit(), l.phaseLimit())
}

// LearnedLimit returns the limit without the temporary changes that
// comparisons make.
func (l *Limiter) LearnedLimit() int {
	return min(l.ceiling, l.refusalLimit.limit(), l.knee.level(pauseHeadroom))
}

func (l *Limiter) phaseLimit() int {
	switch l.phase {
	case phaseMeasureLow:
		return l.low.level
	case phasePause:
		return l.knee.level(pauseHeadroom)
	default:
		return l.high.level
	}
}

// RecordStart records the start of a call, with inFlight calls in flight,
// itself included.
func (l *Limiter) RecordStart(now time.Duration, inFlight int) CallStart {
	l.refusalLimit.raise(now, l.knee.level(pauseHeadroom))
	if now-l.phaseStart > l.phaseTimeout() {
		l.abortComparison(now)
	}
	b := l.currentBatch()
	start := CallStart{startedAt: now, inFlight: int32(inFlight)}
	if b == nil || inFlight != b.level {
		return start
	}
	start.comparisonID = l.comparisonID
	start.low = b == &l.low
	if b.recordStart() {
		l.phase = l.nextPhase()
		l.phaseStart = now
	}
	return start
}

// RecordEnd records the end of a call. The duration is the time that the
// endpoint itself spent on its response, 0 if there was none.
func (l *Limiter) RecordEnd(now time.Duration, start CallStart, duration time.Duration) {
	l.recordEnd(now, start, sample{duration: duration})
}

// RecordAbort records that a call was aborted after the given duration,
// without a response.
func (l *Limiter) RecordAbort(now time.Duration, start CallStart, duration time.Duration) {
	l.recordEnd(now, start, sample{duration: duration, censored: true})
}

// RecordRefusal records that the endpoint proved that it did not start a call.
func (l *Limiter) RecordRefusal(now time.Duration, start CallStart) {
	l.refusalLimit.recordRefusal(now, int(start.inFlight))
	l.knee.rampingUp = false
	l.RecordEnd(now, start, 0)
}

func (l *Limiter) recordEnd(now time.Duration, start CallStart, s sample) {
	if s.duration > 0 {
		l.duration += ((now - start.startedAt).Seconds() - l.duration) * durationWeight
	}
	if start.comparisonID != l.comparisonID {
		return
	}
	if start.low {
		l.low.recordEnd(s)
	} else {
		l.high.recordEnd(s)
	}
	if l.phase == phaseDrain && l.low.complete() && l.high.complete() {
		l.evaluateComparison(now)
	}
}

// currentBatch returns the batch to which further calls are added, or nil.
func (l *Limiter) currentBatch() *batch {
	switch l.phase {
	case phaseMeasureHigh:
		return &l.high
	case phaseMeasureLow:
		return &l.low
	default:
		return nil
	}
}

// nextPhase returns the phase that follows once a batch has enough calls.
func (l *Limiter) nextPhase() phase {
	if l.knee.rampingUp && l.phase == phaseMeasureLow {
		return phaseMeasureHigh
	}
	if l.knee.rampingUp || l.phase == phaseMeasureLow {
		return phaseDrain
	}
	return phaseMeasureLow
}

// abortComparison replaces a comparison that too few calls reached. If calls
// were aborted, lack of demand is not the reason, and the ramp-up ends.
func (l *Limiter) abortComparison(now time.Duration) {
	if l.low.censored+l.high.censored > 0 {
		l.knee.rampingUp = false
	}
	l.startComparison(now)
}

// evaluateRampUp applies the result of a comparison of the ramp-up and starts
// the next comparison.
func (l *Limiter) evaluateRampUp(now time.Duration, elasticity, gap float64) {
	reachedBatch := l.high
	continues := l.knee.advanceRampUp(elasticity, gap)
	l.startComparison(now)
	if continues {
		// The batch of the level that was reached serves as the lower one.
		l.low = reachedBatch
		l.phase = phaseMeasureHigh
	}
}

// startComparison starts a comparison.
func (l *Limiter) startComparison(now time.Duration) {
	high, low, size := l.knee.levels()
	l.comparisonID++
	l.high = batch{level: high, size: size}
	l.low = batch{level: low, size: size}
	l.phase = phaseMeasureHigh
	if l.knee.rampingUp {
		l.phase = phaseMeasureLow
	}
	l.phaseStart = now
	l.comparisonStart = now
}

// evaluateComparison adjusts the limit by the result of the two batches.
func (l *Limiter) evaluateComparison(now time.Duration) {
	if l.low.inconclusive() || l.knee.rampingUp && l.high.inconclusive() {
		l.knee.backOff()
		l.startComparison(now)
		return
	}
	gap := math.Log(float64(l.high.level) / float64(l.low.level))
	elasticity := (l.high.mean() - l.low.mean()) / gap
	if l.knee.rampingUp {
		l.evaluateRampUp(now, elasticity, gap)
		return
	}
	settled := l.knee.adapt(elasticity, (l.high.variance()+l.low.variance())/(gap*gap))
	if !settled {
		l.startComparison(now)
		return
	}
	l.phase = phasePause
	l.phaseStart = now
}

// phaseTimeout returns the maximum duration of the current phase.
func (l *Limiter) phaseTimeout() time.Duration {
	if l.phase == phasePause {
		if l.knee.pinned {
			return pauseFactorPinned * (l.phaseStart - l.comparisonStart)
		}
		return pauseFactor * (l.phaseStart - l.comparisonStart)
	}
	batches := float64(l.low.size) / float64(l.low.level)
	return time.Duration(phaseTimeoutFactor * (1 + batches) * l.duration * float64(time.Second))
}

// Package capacity learns how many calls an endpoint really runs at once.
//
// An endpoint with S slots answers in the same time at any number of calls in
// flight up to S, and in proportionally more time above. The Limiter compares
// the time to answer at two levels of calls in flight, one shortly after the
// other. No answer time is remembered for longer, so the limit stays right when
// the endpoint becomes slower or faster as a whole.
package capacity

import (
	"math"
	"time"
)

const (
	// patience is the number of expected durations after which a phase is given
	// up because too few calls came or ended.
	patience = 4
	// restShare is the time between two comparisons relative to the time of one.
	restShare = 4
	// restSharePinned is the same while the limit is the ceiling. A comparison
	// costs calls and can only find that the endpoint has become smaller.
	restSharePinned = 16
	// restRoom is the room above the learned limit between comparisons, as a
	// logarithm. It keeps all slots busy when the learned limit is a little low.
	restRoom = 0.05
	// tookWeight is the weight of one call in the mean time from hand-over to end.
	tookWeight = 1.0 / 16
)

// phase is a part of one comparison.
type phase uint8

const (
	phaseHigh phase = iota // measure at the limit
	phaseLow               // measure below the limit
	phaseWait              // wait for the last answers
	phaseRest              // run at the limit
)

// CallStart is noted when a call is handed over and given back with its end.
type CallStart struct {
	at time.Duration // hand-over
	// round names the comparison for which the call is measured, 0 for none.
	round uint32
	// inFlight counts the calls in flight at hand-over, this one included.
	inFlight int32
	// low says that the call was handed over at the lower level.
	low bool
}

// Limiter learns the limit on calls in flight at one endpoint. It is not safe
// for concurrent use.
type Limiter struct {
	ceiling int
	knee    knee
	refusal refusal

	phase   phase
	started time.Duration // start of the phase
	opened  time.Duration // start of the comparison
	round   uint32
	high    batch
	low     batch
	took    float64 // mean time from hand-over to end, in seconds
}

// NewLimiter returns a Limiter that never exceeds ceiling.
func NewLimiter(ceiling int) *Limiter {
	l := &Limiter{knee: newKnee()}
	l.SetCeiling(ceiling)
	return l
}

// SetCeiling changes the ceiling.
func (l *Limiter) SetCeiling(ceiling int) {
	l.ceiling = max(1, ceiling)
	l.knee.setCeiling(l.ceiling)
	if !l.knee.learned {
		l.open(l.started)
	}
}

// Limit returns the number of calls that may be in flight now.
func (l *Limiter) Limit() int {
	return min(l.ceiling, l.refusal.limit(), l.phaseLimit())
}

// LearnedLimit returns the limit apart from the short changes that comparisons need.
func (l *Limiter) LearnedLimit() int {
	return min(l.ceiling, l.refusal.limit(), l.knee.level(restRoom))
}

func (l *Limiter) phaseLimit() int {
	switch l.phase {
	case phaseLow:
		return l.low.level
	case phaseRest:
		return l.knee.level(restRoom)
	default:
		return l.high.level
	}
}

// RecordStart notes that a call is handed over, with inFlight calls in flight, itself
// included.
func (l *Limiter) RecordStart(now time.Duration, inFlight int) CallStart {
	l.refusal.grow(now, l.knee.level(restRoom))
	if now-l.started > l.longest() {
		l.giveUp(now)
	}
	b := l.filling()
	m := CallStart{at: now, inFlight: int32(inFlight)}
	if b == nil || inFlight != b.level {
		return m
	}
	m.round = l.round
	m.low = b == &l.low
	if b.start() {
		l.phase = l.next()
		l.started = now
	}
	return m
}

// RecordEnd notes that a call ended. took is the time that the endpoint itself spent
// on its answer, 0 if the call got none.
func (l *Limiter) RecordEnd(now time.Duration, m CallStart, took time.Duration) {
	l.end(now, m, sample{took: took})
}

// RecordAbort notes that a call was given up after the time took, without an answer.
func (l *Limiter) RecordAbort(now time.Duration, m CallStart, took time.Duration) {
	l.end(now, m, sample{took: took, cutOff: true})
}

// RecordRefusal notes that the endpoint proved that it did not start a call.
func (l *Limiter) RecordRefusal(now time.Duration, m CallStart) {
	l.refusal.refused(now, int(m.inFlight))
	l.knee.climbing = false
	l.RecordEnd(now, m, 0)
}

func (l *Limiter) end(now time.Duration, m CallStart, s sample) {
	if s.took > 0 {
		l.took += ((now - m.at).Seconds() - l.took) * tookWeight
	}
	if m.round != l.round {
		return
	}
	if m.low {
		l.low.end(s)
	} else {
		l.high.end(s)
	}
	if l.phase == phaseWait && l.low.full() && l.high.full() {
		l.compare(now)
	}
}

// filling returns the batch that takes further calls.
func (l *Limiter) filling() *batch {
	switch l.phase {
	case phaseHigh:
		return &l.high
	case phaseLow:
		return &l.low
	default:
		return nil
	}
}

// next returns the phase after a full batch.
func (l *Limiter) next() phase {
	if l.knee.climbing && l.phase == phaseLow {
		return phaseHigh
	}
	if l.knee.climbing || l.phase == phaseLow {
		return phaseWait
	}
	return phaseLow
}

// giveUp starts another comparison in place of one that too few calls reached.
// If calls were cut off, it isn't lack of demand that keeps the climb waiting.
func (l *Limiter) giveUp(now time.Duration) {
	if l.low.cutOff+l.high.cutOff > 0 {
		l.knee.climbing = false
	}
	l.open(now)
}

// endClimb goes on with a comparison of the climb.
func (l *Limiter) endClimb(now time.Duration, elasticity, gap float64) {
	reached := l.high
	goesOn := l.knee.climb(elasticity, gap)
	l.open(now)
	if goesOn {
		// The level that was reached was just measured.
		l.low = reached
		l.phase = phaseHigh
	}
}

// open starts a comparison.
func (l *Limiter) open(now time.Duration) {
	high, low, size := l.knee.levels()
	l.round++
	l.high = batch{level: high, size: size}
	l.low = batch{level: low, size: size}
	l.phase = phaseHigh
	if l.knee.climbing {
		l.phase = phaseLow
	}
	l.started = now
	l.opened = now
}

// compare moves the limit by what the two batches tell.
func (l *Limiter) compare(now time.Duration) {
	if l.low.blind() || l.knee.climbing && l.high.blind() {
		l.knee.retreat()
		l.open(now)
		return
	}
	gap := math.Log(float64(l.high.level) / float64(l.low.level))
	elasticity := (l.high.mean() - l.low.mean()) / gap
	if l.knee.climbing {
		l.endClimb(now, elasticity, gap)
		return
	}
	settled := l.knee.adapt(elasticity, (l.high.variance()+l.low.variance())/(gap*gap))
	if !settled {
		l.open(now)
		return
	}
	l.phase = phaseRest
	l.started = now
}

// longest returns the time after which the phase ends in any case.
func (l *Limiter) longest() time.Duration {
	if l.phase == phaseRest {
		if l.knee.pinned {
			return restSharePinned * (l.started - l.opened)
		}
		return restShare * (l.started - l.opened)
	}
	batches := float64(l.low.size) / float64(l.low.level)
	return time.Duration(patience * (1 + batches) * l.took * float64(time.Second))
}

// Package ratelimit keeps the calls to an endpoint within the rate that the endpoint itself
// names in its answers. It answers a load at which the endpoint is in need although it has
// free slots, and the restart of the node beside it, which has to learn the rate again.
package ratelimit

import (
	"math"
	"time"
)

const (
	// burstTime bounds the unused calls that accumulate, as the time in which the rate
	// grants them.
	burstTime = 250 * time.Millisecond
	// probesPerSecond is the lowest rate. Only an answer can end a limit, so an endpoint
	// that takes fewer calls still gets these.
	probesPerSecond = 0.25
	// unknownInFlightMax bounds the calls in flight until the endpoint's first answer.
	unknownInFlightMax = 3
)

// Limiter holds what one endpoint has said of the calls that it takes. The zero value is one
// that has said nothing and takes any rate. It is not safe for concurrent use.
type Limiter struct {
	awaitsAnswer bool
	limited      bool
	perSecond    float64
	tokens       float64
	updatedAt    time.Duration
}

// AwaitFirstAnswer bounds the calls in flight until the endpoint's first answer, which may
// name a rate.
func (l *Limiter) AwaitFirstAnswer() {
	l.awaitsAnswer = true
}

// RecordAnswer records an answer that names a rate in calls a second, or 0 if it names none.
// It reports whether that changes what the endpoint takes.
func (l *Limiter) RecordAnswer(now time.Duration, perSecond float64) (changed bool) {
	l.refill(now)
	changed = l.limited != (perSecond > 0) || l.perSecond != perSecond
	l.awaitsAnswer = false
	switch {
	case perSecond <= 0:
		l.limited, l.perSecond, l.tokens = false, 0, 0
	default:
		l.limited, l.perSecond = true, perSecond
		l.tokens = min(l.tokens, l.burst())
	}
	return changed
}

// Limit returns the rate in calls a second that the endpoint has named.
func (l *Limiter) Limit() (perSecond float64, limited bool) {
	return l.perSecond, l.limited
}

func (l *Limiter) rate() float64 {
	return max(l.perSecond, probesPerSecond)
}

func (l *Limiter) burst() float64 {
	return max(l.rate()*burstTime.Seconds(), 1)
}

func (l *Limiter) refill(now time.Duration) {
	if l.limited {
		l.tokens = min(l.tokens+(now-l.updatedAt).Seconds()*l.rate(), l.burst())
	}
	l.updatedAt = now
}

// Take takes the right to one call, with inFlight others at the endpoint. It returns false if
// the endpoint does not take it now.
func (l *Limiter) Take(now time.Duration, inFlight int) bool {
	l.refill(now)
	switch {
	case l.limited && l.tokens < 1:
		return false
	case l.limited:
		l.tokens--
		return true
	default:
		return !l.awaitsAnswer || inFlight < unknownInFlightMax
	}
}

// Wait returns the time until a call can be taken that has others ahead of it.
func (l *Limiter) Wait(now time.Duration, ahead int) time.Duration {
	l.refill(now)
	if !l.limited {
		return 0
	}
	return time.Duration(max(float64(ahead+1)-l.tokens, 0) / l.rate() * float64(time.Second))
}

// Concurrency returns how many calls of a duration the endpoint runs at once at its rate, at
// most slots.
func (l *Limiter) Concurrency(slots int, duration time.Duration) int {
	if !l.limited {
		return slots
	}
	return max(min(slots, int(math.Ceil(l.rate()*duration.Seconds()))), 1)
}

// Package breaker decides whether a node sends calls to its endpoint, which may break
// them off. It answers an endpoint that is down, or goes down and up by turns, while
// connections to it still open: every call there is lost, in no time, so that it looks
// empty and draws more. A call that is not sent has not run and may go elsewhere.
package breaker

import "time"

const (
	// breaksMax is the number of calls in a row that an endpoint breaks off until it
	// counts as broken. Single answers are lost at any time.
	breaksMax = 3
	// probeInterval is the time between two calls that find out whether a broken
	// endpoint works again: ten lost calls a second at most, and a tenth of a second
	// lost of the time in which it works.
	probeInterval = 100 * time.Millisecond
	// probeIntervalOnce is the same for calls that must not run twice. They are
	// taken only where no others come.
	probeIntervalOnce = time.Second
)

// Breaker follows one endpoint. The zero value lets all calls go. It is not safe for
// concurrent use.
type Breaker struct {
	breaks int
	probed time.Duration // the last time that a call was let go
}

// Admit reports whether a call may go to the endpoint now, and counts it as sent.
func (b *Breaker) Admit(now time.Duration, idempotent bool) bool {
	pause := probeInterval
	if !idempotent {
		pause = probeIntervalOnce
	}
	if b.Open() && now-b.probed < pause {
		return false
	}
	b.probed = now
	return true
}

// RecordFailure takes in that the endpoint broke a call off. It reports whether it counts as
// broken since.
func (b *Breaker) RecordFailure() bool {
	b.breaks++
	return b.breaks == breaksMax
}

// RecordResponse takes in that the endpoint answered or refused a call. It reports whether
// it counted as broken until then.
func (b *Breaker) RecordResponse() bool {
	was := b.Open()
	b.breaks = 0
	return was
}

// Open reports whether the endpoint counts as broken.
func (b *Breaker) Open() bool {
	return b.breaks >= breaksMax
}

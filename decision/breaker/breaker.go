// Package breaker decides whether a node sends calls to its endpoint, which may break
// them off or answer none. It answers an endpoint that is down, or goes down and up by
// turns, while connections to it still open: every call there is lost, in no time, so
// that it looks empty and draws more. It also answers one that fell silent: every call
// there waits until its time is over. A call that is not sent has not run and may go
// elsewhere.
package breaker

import (
	"slices"
	"time"
)

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
	// probeIntervalSilent is the same for an endpoint that fell silent: a call that
	// finds out waits for long.
	probeIntervalSilent = 500 * time.Millisecond
	// silentCalls is the number of calls without an answer from which on an endpoint
	// counts as silent. One or two may be long ones.
	silentCalls = 3
	// silentFactor is the number of usual times for which such a call waits, in
	// percent: most calls end within it.
	silentFactor = 150
	// silentLeast is the least time for which such a call waits. Machines stand still
	// for moments.
	silentLeast = 300 * time.Millisecond
)

// Sent is a call that was sent to the endpoint.
type Sent struct {
	at     time.Duration
	usual  time.Duration
	silent time.Duration // the wait from which on it counts as unanswered
}

// Breaker follows one endpoint. The zero value lets all calls go. It is not safe for
// concurrent use.
type Breaker struct {
	breaks int
	silent bool
	probed time.Duration // the last time that a call was let go
	heard  time.Duration // the last answer
	open   []*Sent
}

// Admit returns a call that may go to the endpoint now, or nil. usual is the time that
// such a call usually takes, or 0 if that is not known. Each call is to be ended.
func (b *Breaker) Admit(now time.Duration, idempotent bool, usual time.Duration) *Sent {
	if b.Broken() && now-b.probed < b.pause(idempotent) {
		return nil
	}
	b.probed = now
	s := &Sent{at: now, usual: usual, silent: max(usual*silentFactor/100, silentLeast)}
	b.open = append(b.open, s)
	return s
}

// pause returns the time between two calls to an endpoint that counts as broken.
func (b *Breaker) pause(idempotent bool) time.Duration {
	switch {
	case !idempotent:
		return probeIntervalOnce
	case b.silent:
		return probeIntervalSilent
	default:
		return probeInterval
	}
}

// End takes back a call, however it ended.
func (b *Breaker) End(s *Sent) {
	if at := slices.Index(b.open, s); at >= 0 {
		b.open = slices.Delete(b.open, at, at+1)
	}
}

// FellSilent looks whether the endpoint has answered no call for longer than usual. It
// reports whether it counts as broken since.
func (b *Breaker) FellSilent(now time.Duration) bool {
	if b.Broken() {
		return false
	}
	waiting := 0
	for _, s := range b.open {
		if s.usual > 0 && now-max(s.at, b.heard) > s.silent {
			waiting++
		}
	}
	if waiting < silentCalls {
		return false
	}
	b.breaks, b.silent = breaksMax, true
	return true
}

// Broke takes in that the endpoint broke a call off. It reports whether it counts as
// broken since.
func (b *Breaker) Broke() bool {
	b.breaks++
	return b.breaks == breaksMax
}

// Answered takes in that the endpoint answered or refused a call. It reports whether
// it counted as broken until then.
func (b *Breaker) Answered(now time.Duration) bool {
	was := b.Broken()
	b.breaks, b.silent, b.heard = 0, false, now
	return was
}

// Broken reports whether the endpoint counts as broken.
func (b *Breaker) Broken() bool {
	return b.breaks >= breaksMax
}

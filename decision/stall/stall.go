// Package stall decides whether the local endpoint has stopped working although
// its connections stay open, as a frozen process does.
package stall

import "time"

const (
	// probeInterval is the time between two probes of an endpoint.
	probeInterval = 250 * time.Millisecond
	// stalledInterval is the time between two probes of a stalled endpoint.
	stalledInterval = 100 * time.Millisecond
	// ProbeTimeout is the time in which a probe must be answered.
	ProbeTimeout = 400 * time.Millisecond
	// missesMax is the number of unanswered probes in a row, without any answer
	// to a call between them, after which an endpoint counts as stalled.
	missesMax = 2
)

// Detector follows one endpoint. It is not safe for concurrent use.
type Detector struct {
	next     time.Duration
	probing  bool
	misses   int
	answered time.Duration
	started  time.Duration
}

// ProbeDue reports whether a probe is to be sent now, and counts it as sent.
func (w *Detector) ProbeDue(now time.Duration) bool {
	if w.probing || now < w.next {
		return false
	}
	w.probing = true
	w.started = now
	w.next = now + probeInterval
	if w.Stalled() || w.misses > 0 {
		w.next = now + stalledInterval
	}
	return true
}

// RecordAnswer takes in that the endpoint answered a call.
func (w *Detector) RecordAnswer(now time.Duration) {
	w.answered = now
	w.misses = 0
}

// RecordProbe takes in the end of a probe. alive is true for any answer, and for a
// refused connection as well: an endpoint that is down is no stalled one.
func (w *Detector) RecordProbe(alive bool) {
	w.probing = false
	if alive {
		w.misses = 0
		return
	}
	if w.answered > w.started {
		return
	}
	w.misses++
}

// Stalled reports whether the endpoint gets no calls.
func (w *Detector) Stalled() bool {
	return w.misses >= missesMax
}

// Package stall detects that the local endpoint has stopped responding although its
// connections remain open, as with a frozen process.
package stall

import "time"

const (
	// probeInterval is the time between two probes of an endpoint.
	probeInterval = 250 * time.Millisecond
	// stalledInterval is the time between two probes of a stalled endpoint.
	stalledInterval = 100 * time.Millisecond
	// ProbeTimeout is the time within which a probe must be answered.
	ProbeTimeout = 400 * time.Millisecond
	// missesMax is the number of consecutive unanswered probes, without any answer to a
	// call in between, after which an endpoint counts as stalled.
	missesMax = 2
)

// Detector detects stalls of one endpoint. It is not safe for concurrent use.
type Detector struct {
	nextProbe  time.Duration
	probing    bool
	misses     int
	lastAnswer time.Duration // to a call
	probeStart time.Duration
}

// ProbeDue reports whether a probe is to be sent now, and counts it as sent.
func (d *Detector) ProbeDue(now time.Duration) bool {
	if d.probing || now < d.nextProbe {
		return false
	}
	d.probing = true
	d.probeStart = now
	d.nextProbe = now + probeInterval
	if d.Stalled() || d.misses > 0 {
		d.nextProbe = now + stalledInterval
	}
	return true
}

// RecordAnswer records that the endpoint answered a call.
func (d *Detector) RecordAnswer(now time.Duration) {
	d.lastAnswer = now
	d.misses = 0
}

// RecordProbe records the outcome of a probe. alive is true for any answer, and also for
// a refused connection: an endpoint that is down does not count as stalled.
func (d *Detector) RecordProbe(alive bool) {
	d.probing = false
	if alive {
		d.misses = 0
		return
	}
	if d.lastAnswer > d.probeStart {
		return
	}
	d.misses++
}

// Stalled reports whether the endpoint counts as stalled and receives no calls.
func (d *Detector) Stalled() bool {
	return d.misses >= missesMax
}

// Package idlelimit learns how long a connection may rest before its other end
// forgets it. It answers endpoints that drop idle connections sooner than they
// say: the next request on such a connection is reset, and nobody can tell
// whether it ran.
package idlelimit

import "time"

const (
	// quick is the time after a send within which a reset means that the
	// connection was gone already; an endpoint that breaks off its work takes
	// longer.
	quick = 15 * time.Millisecond
	// restMin is the rest under which a reset says nothing of idle connections.
	restMin = 50 * time.Millisecond
	// limitMin bounds how short the limit becomes.
	limitMin = 100 * time.Millisecond
	// cut divides the rest after which a connection was gone.
	cut = 2
	// holdTime is the time for which a lower limit stands before it doubles.
	holdTime = 10 * time.Second
)

// Limit is the longest rest of a connection. It is not safe for concurrent use.
type Limit struct {
	usual time.Duration
	limit time.Duration
	at    time.Duration
}

// New returns a limit that stands at the usual time until connections are lost.
func New(usual time.Duration) *Limit {
	return &Limit{usual: usual, limit: usual}
}

// RecordReset takes in that a connection which had rested was reset after a send. It
// reports whether the other end had forgotten it.
func (l *Limit) RecordReset(now, rested, afterSend time.Duration) bool {
	if rested < restMin || afterSend > quick {
		return false
	}
	l.limit = min(l.Current(now), max(rested/cut, limitMin))
	l.at = now
	return true
}

// Current returns the longest rest after which a connection is used.
func (l *Limit) Current(now time.Duration) time.Duration {
	for l.limit < l.usual && now-l.at >= holdTime {
		l.limit = min(2*l.limit, l.usual)
		l.at += holdTime
	}
	return l.limit
}

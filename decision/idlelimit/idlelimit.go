// Package idlelimit estimates how long a connection may be idle before its peer drops it.
// It handles endpoints that drop idle connections sooner than they announce: the next
// request on such a connection is reset, and it cannot be determined whether it ran.
package idlelimit

import "time"

const (
	// resetWindow is the time after a send within which a reset means that the
	// connection had already been dropped. An endpoint that aborts a running request
	// takes longer.
	resetWindow = 15 * time.Millisecond
	// idleMin is the idle time below which a reset is not attributed to idleness.
	idleMin = 50 * time.Millisecond
	// limitMin is the lower bound of the limit.
	limitMin = 100 * time.Millisecond
	// limitDivisor divides the idle time after which a connection had been dropped, to
	// give the new limit.
	limitDivisor = 2
	// holdTime is the time for which a lowered limit is kept before it doubles.
	holdTime = 10 * time.Second
)

// Limit is the maximum idle time of a connection. It is not safe for concurrent use.
type Limit struct {
	defaultLimit time.Duration
	limit        time.Duration
	changed      time.Duration // time of the last change of limit
}

// New returns a limit with a default value, which applies until connections are reset.
func New(defaultLimit time.Duration) *Limit {
	return &Limit{defaultLimit: defaultLimit, limit: defaultLimit}
}

// RecordReset records that a connection was reset after a send that followed an idle time.
// It reports whether the reset is attributed to the idle time.
func (l *Limit) RecordReset(now, idle, afterSend time.Duration) bool {
	if idle < idleMin || afterSend > resetWindow {
		return false
	}
	l.limit = min(l.Current(now), max(idle/limitDivisor, limitMin))
	l.changed = now
	return true
}

// Current returns the maximum idle time after which a connection may be reused.
func (l *Limit) Current(now time.Duration) time.Duration {
	for l.limit < l.defaultLimit && now-l.changed >= holdTime {
		l.limit = min(2*l.limit, l.defaultLimit)
		l.changed += holdTime
	}
	return l.limit
}

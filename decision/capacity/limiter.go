// Package capacity learns how many calls an endpoint really runs at once.
package capacity

import "time"

// Mark is noted when a call is handed over and given back with its end.
type Mark struct {
	// At is the time of hand-over.
	At time.Duration
	// InFlight counts the calls in flight at hand-over, this one included.
	InFlight int32
}

// Limiter learns the limit on calls in flight at one endpoint.
type Limiter struct {
	ceiling int
}

// NewLimiter returns a Limiter that never exceeds ceiling.
func NewLimiter(ceiling int) *Limiter {
	return &Limiter{ceiling: max(1, ceiling)}
}

// SetCeiling changes the ceiling.
func (l *Limiter) SetCeiling(ceiling int) {
	l.ceiling = max(1, ceiling)
}

// Limit returns the number of calls that may be in flight now.
func (l *Limiter) Limit() int {
	return l.ceiling
}

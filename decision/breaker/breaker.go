// Package breaker implements the circuit breaker between a node and its endpoint. It
// handles an endpoint that is down, or alternates between down and up, while connections
// to it can still be opened: every call there fails at once, so the endpoint appears idle
// and attracts more calls. A call that is not sent has not run and can be routed
// elsewhere.
package breaker

import "time"

const (
	// failuresMax is the number of consecutive calls aborted by the endpoint after which
	// the breaker opens. Single calls fail at any time.
	failuresMax = 3
	// probeInterval is the time between two calls that probe an endpoint whose breaker
	// is open: at most ten lost calls a second, and at most a tenth of a second until
	// recovery is noticed.
	probeInterval = 100 * time.Millisecond
	// probeIntervalNonIdempotent is the same for calls that must not run twice. They
	// serve as probes only where there are no idempotent calls.
	probeIntervalNonIdempotent = time.Second
)

// Breaker is the circuit breaker of one endpoint. The zero value is closed and admits all
// calls. It is not safe for concurrent use.
type Breaker struct {
	failures int
	admitted time.Duration // time of the last admitted call
}

// Admit reports whether a call may be sent to the endpoint now, and counts it as sent.
func (b *Breaker) Admit(now time.Duration, idempotent bool) bool {
	interval := probeInterval
	if !idempotent {
		interval = probeIntervalNonIdempotent
	}
	if b.Open() && now-b.admitted < interval {
		return false
	}
	b.admitted = now
	return true
}

// RecordFailure records that the endpoint aborted a call. It reports whether this opened
// the breaker.
func (b *Breaker) RecordFailure() bool {
	b.failures++
	return b.failures == failuresMax
}

// RecordResponse records that the endpoint answered or refused a call. It reports whether
// this closed the breaker.
func (b *Breaker) RecordResponse() bool {
	wasOpen := b.Open()
	b.failures = 0
	return wasOpen
}

// Open reports whether the breaker is open: only probes are sent to the endpoint.
func (b *Breaker) Open() bool {
	return b.failures >= failuresMax
}

// Package pressure implements admission control at the edge, driven by the load of the
// endpoints further down the call chain. Under a sustained overload of the deepest
// service it rejects excess requests at their first hop, the least important first, so
// that admitted requests complete.
//
// A pressure of 1 means that all slots of an endpoint are in use; above 1, calls wait.
package pressure

import (
	"math"
	"time"
)

// loadTimeConstant is the time in which the weight of an earlier load decays to about a
// third. It is roughly the duration of two calls of a short route.
const loadTimeConstant = 80 * time.Millisecond

// LoadAverage is an exponentially weighted moving average of the pressure of one
// endpoint. It is not safe for concurrent use.
type LoadAverage struct {
	mean      float64
	current   float64 // since updatedAt
	updatedAt time.Duration
}

// Observe records that busy calls run or wait at an endpoint that may run limit calls
// concurrently.
func (a *LoadAverage) Observe(now time.Duration, busy, limit int) {
	a.mean = a.Pressure(now)
	a.updatedAt = max(now, a.updatedAt)
	a.current = float64(busy) / float64(max(limit, 1))
}

// Pressure returns the averaged pressure.
func (a *LoadAverage) Pressure(now time.Duration) float64 {
	decay := math.Exp(-float64(max(now-a.updatedAt, 0)) / float64(loadTimeConstant))
	return a.current + (a.mean-a.current)*decay
}

const (
	// refusalWeight is the weight of one call in the refusal share.
	refusalWeight = 1.0 / 32
	// refusalThreshold is the refusal share from which on refusals count as pressure.
	// Smaller shares are handled by retries.
	refusalThreshold = 0.15
	// refusalGain is the pressure above 1 of an endpoint that refuses every call.
	refusalGain = 2.0
)

// RefusalRate is a moving average of the share of calls that an endpoint itself
// refuses. The zero value is ready to use. It is not safe for concurrent use.
type RefusalRate struct {
	share float64
}

// Observe records whether the endpoint refused a call.
func (r *RefusalRate) Observe(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	r.share += (value - r.share) * refusalWeight
}

// Share returns the share of calls that are refused.
func (r *RefusalRate) Share() float64 {
	return r.share
}

// FromRefusalShare returns the pressure of a service whose endpoints all refuse at
// least the given share of their calls although they have free slots. Few call chains
// through such a service succeed, so few requests are admitted and retries are spent on
// those.
func FromRefusalShare(share float64) float64 {
	if share < refusalThreshold {
		return 0
	}
	return 1 + refusalGain*share
}

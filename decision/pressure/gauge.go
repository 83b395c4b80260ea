// Package pressure decides which requests are let in at the edge by how full the
// endpoints deeper in their chain are. It answers a lasting overload of the
// deepest service of a chain: work is refused where it begins, the least
// important first and only as much as is too much, so that what was begun is
// finished.
//
// A pressure of 1 means that all slots of an endpoint are taken; what lies beyond
// waits.
package pressure

import (
	"math"
	"time"
)

// gaugeTime is the time in which a gauge forgets all but a third of an earlier
// load: about two calls of a short route.
const gaugeTime = 80 * time.Millisecond

// LoadAverage follows the pressure of one endpoint. It is not safe for concurrent use.
type LoadAverage struct {
	mean float64
	load float64 // since at
	at   time.Duration
}

// Observe takes in that from now on a number of calls run or wait at an endpoint
// that may run limit calls at once.
func (g *LoadAverage) Observe(now time.Duration, busy, limit int) {
	g.mean = g.Pressure(now)
	g.at = max(now, g.at)
	g.load = float64(busy) / float64(max(limit, 1))
}

// Pressure returns the load of the last moments.
func (g *LoadAverage) Pressure(now time.Duration) float64 {
	kept := math.Exp(-float64(max(now-g.at, 0)) / float64(gaugeTime))
	return g.load + (g.mean-g.load)*kept
}

const (
	// refusedWeight is the weight of one call in the share that is refused.
	refusedWeight = 1.0 / 32
	// refusedFrom is the share from which on refusals count as pressure: fewer are
	// repeated without much ado.
	refusedFrom = 0.15
	// refusedGain is the pressure of an endpoint that refuses everything, beyond
	// one whose slots are all taken.
	refusedGain = 2.0
)

// RefusalRate follows the share of its calls that an endpoint itself refuses. The
// zero value has seen none. It is not safe for concurrent use.
type RefusalRate struct {
	share float64
}

// Observe takes in whether the endpoint refused a call.
func (r *RefusalRate) Observe(refused bool) {
	value := 0.0
	if refused {
		value = 1
	}
	r.share += (value - r.share) * refusedWeight
}

// Share returns the share that is refused.
func (r *RefusalRate) Share() float64 {
	return r.share
}

// FromRefusalShare returns the pressure of a service whose endpoints all refuse at
// least a share of their calls although they have free slots. A chain of calls
// through them rarely ends well, so few may be begun, and those are worth their
// repeats.
func FromRefusalShare(share float64) float64 {
	if share < refusedFrom {
		return 0
	}
	return 1 + refusedGain*share
}

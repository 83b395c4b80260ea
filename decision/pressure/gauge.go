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

// Gauge follows the pressure of one endpoint. It is not safe for concurrent use.
type Gauge struct {
	mean float64
	load float64 // since at
	at   time.Duration
}

// Observe takes in that from now on a number of calls run or wait at an endpoint
// that may run limit calls at once.
func (g *Gauge) Observe(now time.Duration, busy, limit int) {
	g.mean = g.Pressure(now)
	g.at = max(now, g.at)
	g.load = float64(busy) / float64(max(limit, 1))
}

// Pressure returns the load of the last moments.
func (g *Gauge) Pressure(now time.Duration) float64 {
	kept := math.Exp(-float64(max(now-g.at, 0)) / float64(gaugeTime))
	return g.load + (g.mean-g.load)*kept
}

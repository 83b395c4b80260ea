package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// pressureTimeConstant is the time constant of the moving averages in
	// pressure.
	pressureTimeConstant = 300 * time.Millisecond
	// pressureWaitShareMax is the share of time with queued calls up to which
	// the queue is taken to absorb only bursts that the endpoint can serve.
	pressureWaitShareMax = 0.5
	// pressureWaitMin is the lower bound of the queue wait limit under
	// pressure.
	pressureWaitMin = 25 * time.Millisecond
	// pressureWaitDivisor divides the mean response time to give the queue wait
	// limit under pressure.
	pressureWaitDivisor = 2
	// trackedRanks is the number of class ranks that are tracked separately.
	trackedRanks = 4
)

// pressure distinguishes a standing queue from one that absorbs a burst. A
// standing queue does not raise throughput: it only delays refusals and holds
// slots further up the call chain for the time that calls wait for them.
type pressure struct {
	// waitShare is, by rank, the moving average of the share of time during
	// which a call of that class or a more important one was queued.
	waitShare [trackedRanks]float64
}

// observe records that for the elapsed time the most important queued call had
// the given rank, or trackedRanks if no call was queued.
func (p *pressure) observe(elapsed time.Duration, rank priority.Rank) {
	weight := elapsed.Seconds() / (elapsed + pressureTimeConstant).Seconds()
	for r := range trackedRanks {
		waiting := 0.0
		if int(rank) <= r {
			waiting = 1
		}
		p.waitShare[r] += (waiting - p.waitShare[r]) * weight
	}
}

// affects reports whether calls of the given priority are under pressure. The
// most important class never is.
func (p *pressure) affects(call priority.Priority) bool {
	r := min(int(call.Rank()), trackedRanks-1)
	return r > 0 && p.waitShare[r] > pressureWaitShareMax
}

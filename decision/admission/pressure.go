package admission

import (
	"time"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	// pressureTime is the time constant of the share of time that calls wait.
	pressureTime = 300 * time.Millisecond
	// pressureMost is the share of time with waiting calls up to which a queue only
	// takes bursts that the endpoint can serve.
	pressureMost = 0.5
	// pressedWaitMin is the least time that a call may wait under pressure.
	pressedWaitMin = 25 * time.Millisecond
	// pressedWaitShare is the part of a time to answer, one in pressedWaitShare,
	// that a call may wait under pressure.
	pressedWaitShare = 2
	// ranksTracked is the number of classes that are told apart.
	ranksTracked = 4
)

// pressure tells queues that are there nearly all the time from those that take
// a burst. The first add nothing to the work done: they only keep calls, and the
// slots that these hold further up their chains, waiting for a refusal.
type pressure struct {
	// waited is, by rank, the share of time with a waiting call of that class or a
	// more important one.
	waited [ranksTracked]float64
}

// observe takes in that for a time the most important call that waited had the
// given rank, ranksTracked if none did.
func (p *pressure) observe(spent time.Duration, best priority.Rank) {
	weight := spent.Seconds() / (spent + pressureTime).Seconds()
	for r := range ranksTracked {
		waiting := 0.0
		if int(best) <= r {
			waiting = 1
		}
		p.waited[r] += (waiting - p.waited[r]) * weight
	}
}

// on reports whether calls of the given priority are under pressure. The most
// important class never is.
func (p *pressure) on(call priority.Priority) bool {
	r := min(int(call.Rank()), ranksTracked-1)
	return r > 0 && p.waited[r] > pressureMost
}

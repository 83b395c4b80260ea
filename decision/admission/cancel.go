package admission

import "time"

const (
	// cancelScan bounds the number of places that are searched.
	cancelScan = 128
	// cancelAge sets the age up to which a running call is cancelled: the mean
	// time to answer over cancelAge. With an older one more work is lost.
	cancelAge = 2
)

// cancelFor asks to cancel one running call of a less important class than e
// and reports whether there is one.
func (g *Controller) cancelFor(now time.Duration, e *entry, out []CallDecision) (bool, []CallDecision) {
	victim := g.cancellable(now, e)
	if victim == nil {
		return false, out
	}
	victim.cancelling = true
	return true, append(out, CallDecision{ID: victim.id, Decision: DecisionCancelRunning})
}

// cancellable returns a young running call of the least important class below
// that of e.
func (g *Controller) cancellable(now time.Duration, e *entry) *flight {
	age := g.answers.mean() / cancelAge
	rank := e.priority.Rank()
	var victim *flight
	places := g.flights.places
	for i := range places[:min(cancelScan, len(places))] {
		one := &places[i]
		if !one.used || one.cancelling || now-one.started > age {
			continue
		}
		if one.priority.Rank() > rank {
			rank = one.priority.Rank()
			victim = one
		}
	}
	return victim
}

package admission

import "time"

const (
	// cancelScanMax bounds the number of running calls that one search
	// examines, and so its cost.
	cancelScanMax = 128
	// cancelAgeDivisor divides the mean response time to give the maximum age
	// of a call that is cancelled. Cancelling an older call wastes more work.
	cancelAgeDivisor = 2
)

// cancelRunningFor requests the cancellation of one running call of a less
// important class than waiting and reports whether it found one.
func (c *Controller) cancelRunningFor(now time.Duration, waiting *queuedCall, out []CallDecision) (bool, []CallDecision) {
	victim := c.cancellable(now, waiting)
	if victim == nil {
		return false, out
	}
	victim.cancelling = true
	return true, append(out, CallDecision{ID: victim.id, Decision: DecisionCancelRunning})
}

// cancellable returns a recently started call of the least important class,
// which must be less important than that of waiting, or nil.
func (c *Controller) cancellable(now time.Duration, waiting *queuedCall) *runningCall {
	ageMax := c.responseTimes.mean() / cancelAgeDivisor
	rank := waiting.priority.Rank()
	var victim *runningCall
	calls := c.runningCalls.calls
	for i := range calls[:min(cancelScanMax, len(calls))] {
		call := &calls[i]
		if !call.used || call.cancelling || now-call.started > ageMax {
			continue
		}
		if call.priority.Rank() > rank {
			rank = call.priority.Rank()
			victim = call
		}
	}
	return victim
}

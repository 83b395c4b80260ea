package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDurationEstimate(t *testing.T) {
	e := &DurationEstimator{}
	require.Zero(t, e.Estimate(0))
	for i := range 100 {
		e.RecordEnd(time.Duration(i)*time.Millisecond, 20*time.Millisecond, time.Second)
	}
	require.InDelta(t, 20*time.Millisecond, e.Estimate(100*time.Millisecond), float64(time.Millisecond))
	require.Less(t, e.Estimate(time.Minute), time.Millisecond, "the estimate decays without completed calls")
}

// TestTypicalDuration guards against an endpoint that is leaving and accepts calls which it then interrupts, since few calls
// were completed before, or none for some time.
func TestTypicalDuration(t *testing.T) {
	const long, short = 900 * time.Millisecond, 20 * time.Millisecond
	e := &DurationEstimator{}
	require.Zero(t, e.Typical(), "it is unknown")
	e.RecordEnd(time.Second, long, time.Minute)
	require.Equal(t, long, e.Typical(), "after a single call")
	for i := range 100 {
		e.RecordEnd(time.Duration(i+2)*time.Second, short, time.Minute)
	}
	require.InDelta(t, short, e.Typical(), float64(5*time.Millisecond), "after others")
	e.RecordEnd(time.Hour, long, short)
	require.LessOrEqual(t, e.Typical(), 25*time.Millisecond, "a late cancellation doesn't count as a long call")
}

// TestQueueRecoversAfterNodePause guards against a queue that stays closed after a pause of
// its node. The node is paused for 4 s, so the calls in flight end late and raise the
// estimated duration. One second after the pause the queue must accept all calls again. The
// load is 500 calls per second of 20 ms, with a timeout of 700 ms, at 14 slots.
func TestQueueRecoversAfterNodePause(t *testing.T) {
	const (
		slots          = 14
		timeout        = 700 * time.Millisecond
		serviceTime    = 20 * time.Millisecond
		interval       = 2 * time.Millisecond // between calls
		pauseStart     = 2 * time.Second
		pause          = 4 * time.Second
		simulationTime = 10 * time.Second
		recoveryTime   = time.Second
	)
	queue, estimator := New(slots), &DurationEstimator{}
	type runningCall struct{ start, end time.Duration }
	var inFlight []runningCall
	offered, served := 0, 0
	for now := time.Duration(0); now < simulationTime; now += interval {
		if now > pauseStart && now < pauseStart+pause {
			continue
		}
		stillInFlight := inFlight[:0]
		for _, r := range inFlight {
			if r.end > now {
				stillInFlight = append(stillInFlight, r)
				continue
			}
			estimator.RecordEnd(now, now-r.start, timeout)
			// The decisions on waiting calls are not needed, so no slice is passed. The hold
			// time is capped like the duration in RecordEnd.
			queue.Finish(now, min(now-r.start, timeout), nil)
		}
		inFlight = stillInFlight
		decision := queue.Offer(now, Call{ID: uint64(now), Deadline: now + timeout, EstimatedDuration: estimator.Estimate(now)})
		if decision == Run {
			inFlight = append(inFlight, runningCall{now, now + serviceTime})
		}
		if now >= pauseStart+pause+recoveryTime {
			offered++
			if decision == Run {
				served++
			}
		}
	}
	require.Positive(t, offered)
	require.Equal(t, offered, served, "calls that run from one second after the pause on")
}

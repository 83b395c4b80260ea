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

// TestQueueRecoversAfterNodePause simulates 500 calls per second of 20 ms with a timeout
// of 700 ms at an endpoint of 14 slots. Its node is paused for 4 s, so the calls in
// flight end late. Their durations must not keep the queue from accepting calls.
func TestQueueRecoversAfterNodePause(t *testing.T) {
	const (
		slots        = 14
		allowed      = 700 * time.Millisecond
		work         = 20 * time.Millisecond
		interval     = 2 * time.Millisecond // between calls
		pauseStart   = 2 * time.Second
		pause        = 4 * time.Second
		length       = 10 * time.Second
		recoveryTime = time.Second
	)
	queue, estimator := New(slots), &DurationEstimator{}
	type run struct{ start, end time.Duration }
	var runs []run
	offered, served := 0, 0
	for now := time.Duration(0); now < length; now += interval {
		if now > pauseStart && now < pauseStart+pause {
			continue
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			estimator.RecordEnd(now, now-r.start, allowed)
			queue.Finish(now, min(now-r.start, allowed), nil)
		}
		runs = kept
		decision := queue.Offer(now, Call{ID: uint64(now), Deadline: now + allowed, EstimatedDuration: estimator.Estimate(now)})
		if decision == Run {
			runs = append(runs, run{now, now + work})
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

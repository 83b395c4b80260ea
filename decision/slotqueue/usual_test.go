package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestUsualTime(t *testing.T) {
	u := &DurationEstimator{}
	require.Zero(t, u.Estimate(0))
	for i := range 100 {
		u.RecordEnd(time.Duration(i)*time.Millisecond, 20*time.Millisecond, time.Second)
	}
	require.InDelta(t, 20*time.Millisecond, u.Estimate(100*time.Millisecond), float64(time.Millisecond))
	require.Less(t, u.Estimate(time.Minute), time.Millisecond, "nothing has ended for long")
}

// TestEndpointServesAgainAfterItsNodeStoodStill plays calls of 20 ms with 700 ms
// to go, 500 a second, at an endpoint of 14 slots. Its node stands still for 4 s
// and ends the calls in flight only then.
func TestEndpointServesAgainAfterItsNodeStoodStill(t *testing.T) {
	const (
		slots   = 14
		allowed = 700 * time.Millisecond
		work    = 20 * time.Millisecond
		gap     = 2 * time.Millisecond
		stillAt = 2 * time.Second
		still   = 4 * time.Second
		length  = 10 * time.Second
		backIn  = time.Second
	)
	gate, usual := New(slots), &DurationEstimator{}
	type run struct{ began, due time.Duration }
	var runs []run
	offered, served := 0, 0
	for now := time.Duration(0); now < length; now += gap {
		if now > stillAt && now < stillAt+still {
			continue // nothing of the node moves
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.due > now {
				kept = append(kept, r)
				continue
			}
			usual.RecordEnd(now, now-r.began, allowed)
			gate.Finish(now, min(now-r.began, allowed), nil)
		}
		runs = kept
		verdict := gate.Offer(now, Call{ID: uint64(now), Deadline: now + allowed, EstimatedDuration: usual.Estimate(now)})
		if verdict == Run {
			runs = append(runs, run{now, now + work})
		}
		if now >= stillAt+still+backIn {
			offered++
			if verdict == Run {
				served++
			}
		}
	}
	require.Positive(t, offered)
	require.Equal(t, offered, served, "calls that run once the node has moved again for a second")
}

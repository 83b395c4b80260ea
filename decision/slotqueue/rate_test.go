package slotqueue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNamedRateServesTheMostImportantFirst offers three ranks with 10 calls a second each to an
// endpoint that has free slots and takes 12 a second.
func TestNamedRateServesTheMostImportantFirst(t *testing.T) {
	const (
		rate        = 12.0
		perRank     = 10
		serviceTime = 100 * ms
		timeout     = time.Second
		duration    = 20 * time.Second
	)
	q := New(80)
	q.RecordAnswer(0, rate)
	ranks, refusedAfter := map[uint64]uint8{}, map[uint8]time.Duration{}
	offeredAt := map[uint64]time.Duration{}
	served := map[uint8]int{}
	var endAt []time.Duration
	run := func(now time.Duration, id uint64) {
		served[ranks[id]]++
		endAt = append(endAt, now+serviceTime)
	}
	next := uint64(0)
	for now := time.Duration(0); now < duration; now += 10 * ms {
		var out []Dequeued
		for len(endAt) > 0 && endAt[0] <= now {
			endAt = endAt[1:]
			out = q.Finish(now, serviceTime, out)
		}
		out = q.Dispatch(now, out)
		for _, d := range out {
			if d.Decision == Run {
				run(now, d.ID)
				continue
			}
			refusedAfter[ranks[d.ID]] = max(refusedAfter[ranks[d.ID]], now-offeredAt[d.ID])
		}
		if now%(time.Second/perRank) != 0 {
			continue
		}
		for rank := range uint8(3) {
			next++
			ranks[next], offeredAt[next] = 2-rank, now
			if q.Offer(now, Call{ID: next, Rank: 2 - rank, Deadline: now + timeout, EstimatedDuration: serviceTime}) == Run {
				run(now, next)
			}
		}
	}
	total := served[0] + served[1] + served[2]
	require.InDelta(t, rate*duration.Seconds(), total, 0.03*rate*duration.Seconds())
	require.GreaterOrEqual(t, served[0], int(0.98*perRank*duration.Seconds()), "served by rank: %v", served)
	require.Less(t, served[2], perRank*int(duration.Seconds())/10, "served by rank: %v", served)
	require.Less(t, q.Capacity(), 4, "placement learns that the endpoint takes few calls")
}

package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	serviceTime = 20 * time.Millisecond
	settleTime  = 10 * time.Second
	measureTime = 20 * time.Second
	seeds       = 2

	throughputMin        = 0.95 // of the capacity of the slots
	responseTimeRatioMax = 1.5  // mean response time to mean service time
)

var distributions = []struct {
	desc string
	draw distribution
}{
	{"constant", constant},
	{"nearly constant", nearlyConstant},
	{"exponential", exponential},
	{"bimodal", bimodal},
	{"lognormal", lognormal},
}

// seedsOf returns the number of seeds for an endpoint. Limits vary most at
// endpoints with few slots, which are also cheap to simulate.
func seedsOf(slots int) uint64 {
	if slots == 10 {
		return 16
	}
	return seeds
}

// forEachEndpoint runs check for every distribution, size and seed.
func forEachEndpoint(t *testing.T, sizes []int, check func(t *testing.T, e *endpoint, l *Limiter)) {
	for _, d := range distributions {
		for _, slots := range sizes {
			t.Run(fmt.Sprintf("%s %d", d.desc, slots), func(t *testing.T) {
				for seed := uint64(1); seed <= seedsOf(slots); seed++ {
					check(t, newEndpoint(slots, serviceTime, d.draw, seed), NewLimiter(10*slots))
				}
			})
		}
	}
}

func TestSteadyStateKeepsSlotsBusyWithLittleQueueing(t *testing.T) {
	forEachEndpoint(t, []int{10, 70}, func(t *testing.T, e *endpoint, l *Limiter) {
		e.run(l, settleTime)
		o := e.run(l, measureTime)
		t.Logf("throughput %.3f, response time ratio %.2f", o.throughput(e), o.responseTimeRatio())
		require.GreaterOrEqual(t, o.throughput(e), throughputMin)
		require.LessOrEqual(t, o.responseTimeRatio(), responseTimeRatioMax)
	})
}

func TestLimitIsStableDuringSlowdown(t *testing.T) {
	for _, d := range distributions {
		for _, slots := range []int{10, 70} {
			t.Run(fmt.Sprintf("%s %d", d.desc, slots), func(t *testing.T) {
				before, after := 0.0, 0.0
				for seed := uint64(1); seed <= seedsOf(slots); seed++ {
					e := newEndpoint(slots, serviceTime, d.draw, seed)
					l := NewLimiter(10 * slots)
					e.run(l, settleTime)
					o := e.run(l, measureTime)
					before += o.throughput(e)
					e.mean *= 5
					e.run(l, settleTime)
					o = e.run(l, 2*measureTime)
					require.GreaterOrEqual(t, o.throughput(e), throughputMin, "while slow")
					require.LessOrEqual(t, o.responseTimeRatio(), responseTimeRatioMax, "while slow")
					e.mean /= 5
					e.run(l, time.Second)
					o = e.run(l, measureTime)
					after += o.throughput(e)
				}
				require.GreaterOrEqual(t, after/before, 0.99)
			})
		}
	}
}

func TestFollowsLostAndRegainedSlots(t *testing.T) {
	forEachEndpoint(t, []int{20, 50}, func(t *testing.T, e *endpoint, l *Limiter) {
		e.run(l, settleTime)
		all := e.slots
		e.slots = all / 2
		e.run(l, 2*measureTime)
		o := e.run(l, measureTime)
		require.LessOrEqual(t, o.responseTimeRatio(), responseTimeRatioMax, "half the slots")
		e.slots = all
		e.run(l, measureTime)
		o = e.run(l, measureTime)
		require.GreaterOrEqual(t, o.throughput(e), throughputMin, "all slots again")
	})
}

func TestRefusals(t *testing.T) {
	forEachEndpoint(t, []int{10, 70}, func(t *testing.T, e *endpoint, l *Limiter) {
		e.queueMax = 0
		e.run(l, settleTime)
		o := e.run(l, measureTime)
		require.GreaterOrEqual(t, o.throughput(e), throughputMin)
		require.Less(t, o.refused, o.answered/50)
	})
}

func TestLimitRecoversAfterRefusalOfAllCalls(t *testing.T) {
	e := newEndpoint(50, serviceTime, exponential, 1)
	l := NewLimiter(500)
	e.run(l, settleTime)
	e.queueMax = 0
	e.slots = 0
	e.run(l, time.Second)
	require.Equal(t, 1, l.Limit())
	e.slots = 50
	e.queueMax = -1
	e.run(l, 500*time.Millisecond)
	o := e.run(l, time.Second)
	require.GreaterOrEqual(t, o.throughput(e), throughputMin)
}

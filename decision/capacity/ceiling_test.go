package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A catalogue usually names the exact number of slots. The limiter has nothing
// to learn then, and its comparisons must cost hardly any throughput from the
// start.
func TestExactCeilingKeepsThroughput(t *testing.T) {
	for _, d := range distributions {
		for _, slots := range []int{10, 70} {
			t.Run(fmt.Sprintf("%s %d", d.desc, slots), func(t *testing.T) {
				for seed := uint64(1); seed <= seedsOf(slots); seed++ {
					e := newEndpoint(slots, serviceTime, d.draw, seed)
					l := NewLimiter(slots)
					e.run(l, time.Second)
					o := e.run(l, measureTime)
					require.GreaterOrEqual(t, o.throughput(e), throughputMin)
				}
			})
		}
	}
}

// An endpoint may lose slots after the start even if the ceiling was exact.
func TestFindsLostSlotsUnderExactCeiling(t *testing.T) {
	for seed := uint64(1); seed <= 16; seed++ {
		e := newEndpoint(40, serviceTime, exponential, seed)
		l := NewLimiter(40)
		e.run(l, settleTime)
		e.slots = 15
		e.run(l, settleTime)
		o := e.run(l, measureTime)
		require.LessOrEqual(t, o.responseTimeRatio(), responseTimeRatioMax)
	}
}

// A limiter without prior knowledge must open under full demand: at an exact
// ceiling within half a second. With few slots under a high ceiling, no queue
// from the ramp-up may be left after a second.
func TestLimitOpensUnderFullDemand(t *testing.T) {
	const starts = 8
	for _, d := range distributions {
		for slots, ceiling := range map[int]int{10: 100, 50: 50, 70: 70} {
			t.Run(fmt.Sprintf("%s %d of %d", d.desc, slots, ceiling), func(t *testing.T) {
				throughput, meanRatio := 0.0, 0.0
				for seed := uint64(1); seed <= starts; seed++ {
					e := newEndpoint(slots, serviceTime, d.draw, seed)
					l := NewLimiter(ceiling)
					e.run(l, time.Second/2)
					o := e.run(l, time.Second/2)
					throughput += o.throughput(e) / starts
					o = e.run(l, 2*time.Second)
					meanRatio += o.responseTimeRatio() / starts
				}
				t.Logf("throughput %.3f, response time ratio %.2f", throughput, meanRatio)
				require.LessOrEqual(t, meanRatio, responseTimeRatioMax)
				if slots == ceiling {
					require.GreaterOrEqual(t, throughput, throughputMin)
				}
			})
		}
	}
}

// A catalogue that arrives late or changes during the ramp-up must neither end
// nor restart it.
func TestCeilingChangesDuringRampUp(t *testing.T) {
	e := newEndpoint(70, serviceTime, exponential, 1)
	l := NewLimiter(0)
	l.SetCeiling(700)
	e.run(l, time.Second/2)
	before := l.LearnedLimit()
	require.Greater(t, before, 2*initialLimit)
	l.SetCeiling(500)
	require.Equal(t, before, l.LearnedLimit())
}

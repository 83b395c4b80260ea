package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A catalogue that names the endpoint's true slots is the usual case. Nothing
// is to be learned then, and learning must cost next to nothing from the start.
func TestTrueCeilingCostsNothing(t *testing.T) {
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

// Under a true ceiling the endpoint may still lose slots later.
func TestFindsLostSlotsUnderATrueCeiling(t *testing.T) {
	for seed := uint64(1); seed <= 16; seed++ {
		e := newEndpoint(40, serviceTime, exponential, seed)
		l := NewLimiter(40)
		e.run(l, settleTime)
		e.slots = 15
		e.run(l, settleTime)
		o := e.run(l, measureTime)
		require.LessOrEqual(t, o.meanTook(), tookMax)
	}
}

// A limiter that started without knowledge opens under full demand: at a true
// ceiling within half a second. At few slots under a high ceiling, the trials
// upwards have left no queue behind after a second.
func TestOpensUnderDemand(t *testing.T) {
	const starts = 8
	for _, d := range distributions {
		for slots, ceiling := range map[int]int{10: 100, 50: 50, 70: 70} {
			t.Run(fmt.Sprintf("%s %d of %d", d.desc, slots, ceiling), func(t *testing.T) {
				throughput, took := 0.0, 0.0
				for seed := uint64(1); seed <= starts; seed++ {
					e := newEndpoint(slots, serviceTime, d.draw, seed)
					l := NewLimiter(ceiling)
					e.run(l, time.Second/2)
					o := e.run(l, time.Second/2)
					throughput += o.throughput(e) / starts
					o = e.run(l, 2*time.Second)
					took += o.meanTook() / starts
				}
				t.Logf("throughput %.3f, time to answer %.2f", throughput, took)
				require.LessOrEqual(t, took, tookMax)
				if slots == ceiling {
					require.GreaterOrEqual(t, throughput, throughputMin)
				}
			})
		}
	}
}

// A catalogue that arrives late or changes during the climb neither ends nor
// repeats it.
func TestCeilingChangesWhileOpening(t *testing.T) {
	e := newEndpoint(70, serviceTime, exponential, 1)
	l := NewLimiter(0)
	l.SetCeiling(700)
	e.run(l, time.Second/2)
	before := l.LearnedLimit()
	require.Greater(t, before, 2*initialLimit)
	l.SetCeiling(500)
	require.Equal(t, before, l.LearnedLimit())
}

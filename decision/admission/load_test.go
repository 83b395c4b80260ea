package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/shedding"
)

const (
	serviceTime = 20 * time.Millisecond
	warmUp      = 5 * time.Second
	spell       = 10 * time.Second
)

// eachSize runs check for endpoints of different sizes.
func eachSize(t *testing.T, load float64, check func(t *testing.T, m *model)) {
	for _, slots := range []int{10, 20, 70} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			check(t, newModel(slots, serviceTime, load, 1))
		})
	}
}

// measure runs the model for a spell and forgets what was seen before.
func (m *model) measure(spend time.Duration) {
	m.reset()
	m.run(spend)
}

func (m *model) withCallers(n int) *model {
	for range n {
		m.callers = append(m.callers, shedding.NewThresholdTable())
	}
	return m
}

func TestOverloadKeepsGoodputAndImportantWork(t *testing.T) {
	for _, load := range []float64{3, 10} {
		t.Run(fmt.Sprintf("load %.0f", load), func(t *testing.T) {
			eachSize(t, load, func(t *testing.T, m *model) {
				m.ranks = []float64{0.8 / load, 1 - 0.8/load}
				m.run(warmUp)
				m.measure(spell)
				require.GreaterOrEqual(t, m.goodput(spell), 0.95)
				require.LessOrEqual(t, m.wasted.Seconds()/m.good.Seconds(), 0.02)
				require.LessOrEqual(t, m.inside.Seconds()/m.good.Seconds(), 0.5)
				first := m.counts[0]
				t.Logf("goodput %.3f, important %.4f, wasted %.4f, wait in the endpoint %.3f, longest wait in the gate %v",
					m.goodput(spell), float64(first.answered)/float64(first.offered),
					m.wasted.Seconds()/m.good.Seconds(), m.inside.Seconds()/m.good.Seconds(), m.gateWait)
				require.GreaterOrEqual(t, float64(first.answered)/float64(first.offered), 0.99)
				require.LessOrEqual(t, m.gateWait, waitMax)
			})
		})
	}
}

func TestGoodputIsBackAfterSlowdown(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.run(warmUp)
		m.measure(spell)
		before := m.goodput(spell)
		for range 2 {
			m.mean *= 5
			m.measure(spell)
			require.GreaterOrEqual(t, m.goodput(spell), 0.9, "while slow")
			m.mean /= 5
			m.run(time.Second)
			m.measure(spell)
			t.Logf("before %.3f, after %.3f", before, m.goodput(spell))
			require.GreaterOrEqual(t, m.goodput(spell)/before, 0.99, "after")
		}
	})
}

// A slow service below holds the slots for longer. The endpoint's number of
// slots stays the same.
func TestLimitOutlivesSlowServiceBelow(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = 5 * time.Second
		m.run(warmUp)
		before := m.gate.State().Limit
		m.below = 10 * serviceTime
		m.run(warmUp)
		m.measure(6 * spell)
		t.Logf("limit %d before, %d while slow, goodput %.3f", before, m.gate.State().Limit, m.goodput(6*spell))
		require.GreaterOrEqual(t, m.goodput(6*spell), 0.95, "while slow")
		require.LessOrEqual(t, m.gate.State().Limit, m.slots*3/2)
		m.below = 0
		m.run(time.Second)
		m.measure(spell)
		require.GreaterOrEqual(t, m.goodput(spell), 0.95, "after")
	})
}

func TestThresholdFollowsLoad(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.run(warmUp)
		require.Equal(t, priority.Rank(1), m.gate.Threshold(m.now).Rank(), "lookups are shed, not bookings")
		m.rate /= 6
		m.run(time.Second / 2)
		require.Equal(t, priority.Lowest, m.gate.Threshold(m.now))
		m.measure(time.Second)
		require.Zero(t, m.counts[0].shed+m.counts[1].shed)
	})
}

// The start of a chain refuses by thresholds that took a time to get there, and
// lets nothing pass beyond them.
func TestGoodputAtTheEndOfAChain(t *testing.T) {
	for _, load := range []float64{1.5, 3, 10} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			eachSize(t, load, func(t *testing.T, m *model) {
				m.ranks = []float64{0.2 / load, 1 - 0.2/load}
				m.mean = 5 * serviceTime
				m.rate /= 5
				m.lag = 5
				m.run(warmUp)
				m.measure(2 * spell)
				t.Logf("goodput %.3f, reached the gate %.2f, waited for a refusal %.3f of the slots' time",
					m.goodput(2*spell), float64(m.counts[0].offered+m.counts[1].offered-m.refused)/(2*spell).Seconds()/(m.rate/load), m.shedWait.Seconds()/m.good.Seconds())
				require.GreaterOrEqual(t, m.goodput(2*spell), 0.95)
			})
		})
	}
}

func TestCallersThatFollowTheThreshold(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.withCallers(20).run(warmUp)
		m.measure(spell)
		reached := float64(m.counts[0].offered+m.counts[1].offered-m.refused) / spell.Seconds()
		capacity := m.rate / 3
		t.Logf("goodput %.3f, reached the gate %.2f of capacity, waited for a refusal %.3f of the slots' time", m.goodput(spell), reached/capacity, m.shedWait.Seconds()/m.good.Seconds())
		require.GreaterOrEqual(t, m.goodput(spell), 0.95)
		shed := m.counts[0].shed + m.counts[1].shed
		require.LessOrEqual(t, m.shedWait, time.Duration(shed)*pressedWaitMin, "a refusal comes soon: slots further up wait for it")
		require.LessOrEqual(t, reached/capacity, 1.6, "most of the excess is refused at the callers")
		require.GreaterOrEqual(t, float64(m.counts[0].answered)/float64(m.counts[0].offered), 0.99)

		m.rate /= 6
		m.run(time.Second / 2)
		m.measure(time.Second)
		require.Zero(t, m.refused+m.counts[0].shed+m.counts[1].shed, "nothing is refused after the overload")
		m.rate *= 6
		m.run(time.Second / 2)
		m.measure(spell)
		require.GreaterOrEqual(t, m.goodput(spell), 0.95, "again")
	})
}

// What an endpoint that has just started waits for its own calls doesn't look
// like a queue inside it.
func TestOpensAboveASlowService(t *testing.T) {
	m := newModel(70, serviceTime, 3, 1)
	m.timeout = 5 * time.Second
	m.below = 10 * serviceTime
	m.run(warmUp)
	require.GreaterOrEqual(t, m.gate.State().Limit, 63)
}

// Calls whose time is short of the endpoint's can't make the gate send more and
// more of them.
func TestShortDeadlinesDontRaiseTheLimit(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = serviceTime * 5 / 4
		m.run(warmUp)
		m.measure(spell)
		require.LessOrEqual(t, m.gate.State().Limit, 2*m.slots)
		require.GreaterOrEqual(t, m.goodput(spell), 0.2)
	})
}

func TestLateWorkIsNotRun(t *testing.T) {
	eachSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = 5 * serviceTime
		m.run(warmUp)
		m.measure(spell)
		require.GreaterOrEqual(t, m.goodput(spell), 0.95)
		require.LessOrEqual(t, m.wasted.Seconds()/m.good.Seconds(), 0.02)
	})
}

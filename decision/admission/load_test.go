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
	serviceTime   = 20 * time.Millisecond
	warmUp        = 5 * time.Second
	measurePeriod = 10 * time.Second
)

// forEachEndpointSize runs check for endpoints with different numbers of
// slots.
func forEachEndpointSize(t *testing.T, load float64, check func(t *testing.T, m *model)) {
	for _, slots := range []int{10, 20, 70} {
		t.Run(fmt.Sprintf("%d slots", slots), func(t *testing.T) {
			check(t, newModel(slots, serviceTime, load, 1))
		})
	}
}

// measure resets the statistics and runs the model for the given duration.
func (m *model) measure(duration time.Duration) {
	m.reset()
	m.run(duration)
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
			forEachEndpointSize(t, load, func(t *testing.T, m *model) {
				m.ranks = []float64{0.8 / load, 1 - 0.8/load}
				m.run(warmUp)
				m.measure(measurePeriod)
				require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.95)
				require.LessOrEqual(t, m.wastedTime.Seconds()/m.goodTime.Seconds(), 0.02)
				require.LessOrEqual(t, m.endpointWaitTotal.Seconds()/m.goodTime.Seconds(), 0.5)
				first := m.counts[0]
				t.Logf("goodput %.3f, important %.4f, wasted %.4f, wait in the endpoint %.3f, longest wait in the queue %v",
					m.goodput(measurePeriod), float64(first.answered)/float64(first.arrived),
					m.wastedTime.Seconds()/m.goodTime.Seconds(), m.endpointWaitTotal.Seconds()/m.goodTime.Seconds(), m.longestQueueWait)
				require.GreaterOrEqual(t, float64(first.answered)/float64(first.arrived), 0.99)
				require.LessOrEqual(t, m.longestQueueWait, queueWaitMax)
			})
		})
	}
}

func TestGoodputRecoversAfterSlowdown(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.run(warmUp)
		m.measure(measurePeriod)
		before := m.goodput(measurePeriod)
		for range 2 {
			m.meanServiceTime *= 5
			m.measure(measurePeriod)
			require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.9, "while slow")
			m.meanServiceTime /= 5
			m.run(time.Second)
			m.measure(measurePeriod)
			t.Logf("before %.3f, after %.3f", before, m.goodput(measurePeriod))
			require.GreaterOrEqual(t, m.goodput(measurePeriod)/before, 0.99, "after")
		}
	})
}

// A slow downstream service makes calls hold their slots for longer. The limit
// must not change, since the endpoint has as many slots as before.
func TestLimitIsStableWhileDownstreamIsSlow(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = 5 * time.Second
		m.run(warmUp)
		before := m.controller.State().Limit
		m.downstreamWait = 10 * serviceTime
		m.run(warmUp)
		m.measure(6 * measurePeriod)
		t.Logf("limit %d before, %d while slow, goodput %.3f", before, m.controller.State().Limit, m.goodput(6*measurePeriod))
		require.GreaterOrEqual(t, m.goodput(6*measurePeriod), 0.95, "while slow")
		require.LessOrEqual(t, m.controller.State().Limit, m.slots*3/2)
		m.downstreamWait = 0
		m.run(time.Second)
		m.measure(measurePeriod)
		require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.95, "after")
	})
}

func TestThresholdFollowsLoad(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.run(warmUp)
		require.Equal(t, priority.Rank(1), m.controller.Threshold(m.now).Rank(), "lookups are shed, not bookings")
		m.rate /= 6
		m.run(time.Second / 2)
		require.Equal(t, priority.Lowest, m.controller.Threshold(m.now))
		m.measure(time.Second)
		require.Zero(t, m.counts[0].shed+m.counts[1].shed)
	})
}

// The start of the call chain refuses every call beyond a threshold that
// reaches it with a delay. The delay must not cost goodput at the end of the
// chain.
func TestGoodputWithDelayedThresholds(t *testing.T) {
	for _, load := range []float64{1.5, 3, 10} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			forEachEndpointSize(t, load, func(t *testing.T, m *model) {
				m.ranks = []float64{0.2 / load, 1 - 0.2/load}
				m.meanServiceTime = 5 * serviceTime
				m.rate /= 5
				m.thresholdLagTicks = 5
				m.run(warmUp)
				m.measure(2 * measurePeriod)
				t.Logf("goodput %.3f, reached the controller %.2f, waited for a refusal %.3f of the slots' time",
					m.goodput(2*measurePeriod), float64(m.counts[0].arrived+m.counts[1].arrived-m.refusedByCallers)/(2*measurePeriod).Seconds()/(m.rate/load), m.shedWaitTotal.Seconds()/m.goodTime.Seconds())
				require.GreaterOrEqual(t, m.goodput(2*measurePeriod), 0.95)
			})
		})
	}
}

func TestCallersShedByThreshold(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.withCallers(20).run(warmUp)
		m.measure(measurePeriod)
		reached := float64(m.counts[0].arrived+m.counts[1].arrived-m.refusedByCallers) / measurePeriod.Seconds()
		capacity := m.rate / 3
		t.Logf("goodput %.3f, reached the controller %.2f of capacity, waited for a refusal %.3f of the slots' time", m.goodput(measurePeriod), reached/capacity, m.shedWaitTotal.Seconds()/m.goodTime.Seconds())
		require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.95)
		shed := m.counts[0].shed + m.counts[1].shed
		require.LessOrEqual(t, m.shedWaitTotal, time.Duration(shed)*pressureWaitMin, "refusals are early: slots of upstream services wait for them")
		require.LessOrEqual(t, reached/capacity, 1.6, "callers refuse most of the excess load")
		require.GreaterOrEqual(t, float64(m.counts[0].answered)/float64(m.counts[0].arrived), 0.99)

		m.rate /= 6
		m.run(time.Second / 2)
		m.measure(time.Second)
		require.Zero(t, m.refusedByCallers+m.counts[0].shed+m.counts[1].shed, "no call is refused after the overload")
		m.rate *= 6
		m.run(time.Second / 2)
		m.measure(measurePeriod)
		require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.95, "second overload")
	})
}

// The downstream wait of an endpoint that has just started must not look like
// a queue inside the endpoint and stop the growth of the limit.
func TestLimitGrowsWithSlowDownstream(t *testing.T) {
	m := newModel(70, serviceTime, 3, 1)
	m.timeout = 5 * time.Second
	m.downstreamWait = 10 * serviceTime
	m.run(warmUp)
	require.GreaterOrEqual(t, m.controller.State().Limit, 63)
}

// Calls with less time than the endpoint needs end without a response. They
// must not raise the limit further and further.
func TestShortDeadlinesDontRaiseTheLimit(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = serviceTime * 5 / 4
		m.run(warmUp)
		m.measure(measurePeriod)
		require.LessOrEqual(t, m.controller.State().Limit, 2*m.slots)
		require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.2)
	})
}

func TestTooLateCallsAreNotRun(t *testing.T) {
	forEachEndpointSize(t, 3, func(t *testing.T, m *model) {
		m.timeout = 5 * serviceTime
		m.run(warmUp)
		m.measure(measurePeriod)
		require.GreaterOrEqual(t, m.goodput(measurePeriod), 0.95)
		require.LessOrEqual(t, m.wastedTime.Seconds()/m.goodTime.Seconds(), 0.02)
	})
}

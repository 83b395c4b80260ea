package pressure

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model simulates a call chain whose deepest service, the backend, has few slots
// and gets most of the calls: each history and each booking makes eight backend calls,
// histories one after the other, bookings in two concurrent sequences; a status makes
// one. The backend runs calls in FIFO order. All backend calls of a request that misses
// its deadline are wasted.
const (
	backendSlots = 42
	backendWork  = 30 * time.Millisecond
	upstreamWork = 25 * time.Millisecond // work of the upstream services per backend call
)

// kind is a kind of request.
type kind struct {
	rank             int
	value            float64
	callsPerSequence int // backend calls
	sequences        int
	work             time.Duration
	timeout          time.Duration
	perSecond        float64
}

func requestKinds(load float64) []kind {
	return []kind{
		{rank: 0, value: 3, callsPerSequence: 4, sequences: 2, work: backendWork, timeout: time.Second, perSecond: 70 * load},
		{rank: 1, value: 2, callsPerSequence: 1, sequences: 1, work: 48 * time.Millisecond, timeout: 600 * time.Millisecond, perSecond: 42 * load},
		{rank: 2, value: 1, callsPerSequence: 8, sequences: 1, work: backendWork, timeout: 800 * time.Millisecond, perSecond: 117 * load},
	}
}

const ranks = 3

// idealValue returns the highest value per second that the backend's slots allow. It
// serves the kinds with the highest value per backend time first.
func idealValue(load float64) float64 {
	kinds := requestKinds(load)
	available := float64(backendSlots)
	value := 0.0
	for _, at := range []int{1, 0, 2} {
		k := kinds[at]
		need := k.perSecond * float64(k.callsPerSequence*k.sequences) * k.work.Seconds()
		served := min(1, available/need)
		value += served * k.perSecond * k.value
		available -= served * need
	}
	return value
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// model is the state of one simulation.
type model struct {
	random      *rand.Rand
	events      eventQueue
	busy        int
	waiting     []func(now time.Duration)
	backendLoad LoadAverage
	windows     []*Window // by kind; nil admits every request
	value       float64
	offered     [ranks]int
	completed   [ranks]int
}

func (m *model) schedule(now, delay time.Duration, run func(time.Duration)) {
	heap.Push(&m.events, event{now + delay, run})
}

// callBackend runs one call in a slot or queues it.
func (m *model) callBackend(now, work time.Duration, done func(time.Duration)) {
	run := func(now time.Duration) {
		took := time.Duration(float64(work) * (0.5 + m.random.Float64()))
		m.schedule(now, took, func(now time.Duration) {
			m.busy--
			if len(m.waiting) > 0 {
				next := m.waiting[0]
				m.waiting = m.waiting[1:]
				m.busy++
				next(now)
			}
			m.backendLoad.Observe(now, m.busy+len(m.waiting), backendSlots)
			done(now)
		})
	}
	if m.busy < backendSlots {
		m.busy++
		run(now)
	} else {
		m.waiting = append(m.waiting, run)
	}
	m.backendLoad.Observe(now, m.busy+len(m.waiting), backendSlots)
}

// request simulates one request of a kind.
func (m *model) request(now time.Duration, at int, k kind) {
	m.offered[k.rank]++
	if w := m.windows[at]; w != nil && !w.TryAcquire() {
		return
	}
	remaining := k.sequences
	release := func() {
		if w := m.windows[at]; w != nil {
			w.Release()
		}
	}
	finished := func(done time.Duration) {
		remaining--
		if remaining > 0 {
			return
		}
		release()
		if done-now <= k.timeout {
			m.completed[k.rank]++
			m.value += k.value
		}
	}
	for range k.sequences {
		m.runSequence(now, now+k.timeout, k, k.callsPerSequence, finished)
	}
}

// runSequence makes backend calls one after the other until the deadline.
func (m *model) runSequence(now, deadline time.Duration, k kind, remaining int, done func(time.Duration)) {
	if remaining == 0 || now > deadline {
		done(now)
		return
	}
	m.schedule(now, upstreamWork, func(now time.Duration) {
		m.callBackend(now, k.work, func(now time.Duration) { m.runSequence(now, deadline, k, remaining-1, done) })
	})
}

func simulate(seed uint64, load float64, length time.Duration, bounded bool) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), windows: make([]*Window, ranks)}
	kinds := requestKinds(load)
	for at, k := range kinds {
		if bounded && k.callsPerSequence > 1 {
			m.windows[at] = NewWindow(0, 3*76)
		}
		m.scheduleArrival(0, at, k)
	}
	var adapt func(time.Duration)
	adapt = func(now time.Duration) {
		pressure := m.backendLoad.Pressure(now)
		m.schedule(now, 100*time.Millisecond, func(now time.Duration) { // propagation delay of the report
			for at, w := range m.windows {
				if w != nil {
					w.Adapt(now, pressure, kinds[at].rank, ranks, 3*76)
				}
			}
		})
		m.schedule(now, 50*time.Millisecond, adapt)
	}
	adapt(0)
	for len(m.events) > 0 && m.events[0].at < length {
		next := heap.Pop(&m.events).(event)
		next.run(next.at)
	}
	return m
}

func (m *model) scheduleArrival(now time.Duration, at int, k kind) {
	wait := time.Duration(m.random.ExpFloat64() / k.perSecond * float64(time.Second))
	m.schedule(now, wait, func(now time.Duration) {
		m.request(now, at, k)
		m.scheduleArrival(now, at, k)
	})
}

func TestOverloadServesMostValuableRequests(t *testing.T) {
	const length = 20 * time.Second
	for _, load := range []float64{0.7, 1.6, 3} {
		with, without := 0.0, 0.0
		for seed := range uint64(5) {
			best := idealValue(load) * length.Seconds()
			m := simulate(seed, load, length, true)
			with += m.value / best / 5
			without += simulate(seed, load, length, false).value / best / 5
			t.Logf("load %.1f seed %d: %.3f of ideal, bookings %d of %d, status %d of %d, histories %d of %d",
				load, seed, m.value/best, m.completed[0], m.offered[0], m.completed[1], m.offered[1], m.completed[2], m.offered[2])
		}
		t.Logf("load %.1f: %.3f of ideal with windows, %.3f without", load, with, without)
		require.GreaterOrEqual(t, with, 0.85, "load %v", load)
		require.GreaterOrEqual(t, with, without)
	}
}

func TestImportantRequestsComplete(t *testing.T) {
	m := simulate(1, 1.6, 20*time.Second, true)
	require.GreaterOrEqual(t, float64(m.completed[0]), 0.95*float64(m.offered[0]), "the backend can serve all bookings")
	require.GreaterOrEqual(t, float64(m.completed[1]), 0.95*float64(m.offered[1]))
	require.Positive(t, m.completed[2])
}

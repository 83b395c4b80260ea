package pressure

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model plays a chain that is wide at the bottom: each history and each
// booking makes eight calls of a service with few slots, histories in a row,
// bookings in two rows side by side; a status makes one. The bottom runs calls
// in the order of their arrival. A request that misses its time has wasted every
// call it made.
const (
	bottomSlots = 42
	bottomWork  = 30 * time.Millisecond
	between     = 25 * time.Millisecond // work of the services above, for each call
)

type kind struct {
	rank      int
	worth     float64
	calls     int // at the bottom, for each row
	rows      int
	work      time.Duration
	timeout   time.Duration
	perSecond float64
}

func kinds(load float64) []kind {
	return []kind{
		{rank: 0, worth: 3, calls: 4, rows: 2, work: bottomWork, timeout: time.Second, perSecond: 70 * load},
		{rank: 1, worth: 2, calls: 1, rows: 1, work: 48 * time.Millisecond, timeout: 600 * time.Millisecond, perSecond: 42 * load},
		{rank: 2, worth: 1, calls: 8, rows: 1, work: bottomWork, timeout: 800 * time.Millisecond, perSecond: 117 * load},
	}
}

const ranks = 3

// ideal returns the most worth in a second that the bottom's slots allow: the
// kinds that pay most for its time first.
func ideal(load float64) float64 {
	all := kinds(load)
	left := float64(bottomSlots)
	worth := 0.0
	for _, at := range []int{1, 0, 2} {
		k := all[at]
		need := k.perSecond * float64(k.calls*k.rows) * k.work.Seconds()
		served := min(1, left/need)
		worth += served * k.perSecond * k.worth
		left -= served * need
	}
	return worth
}

type moment struct {
	at time.Duration
	do func(now time.Duration)
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at < m[j].at }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// model is one play.
type model struct {
	random  *rand.Rand
	events  moments
	busy    int
	waiting []func(now time.Duration)
	gauge   LoadAverage
	windows []*Window // by kind; nil lets all in
	worth   float64
	begun   [ranks]int
	whole   [ranks]int
}

func (m *model) after(now, d time.Duration, do func(time.Duration)) {
	heap.Push(&m.events, moment{now + d, do})
}

// bottom runs one call in a slot.
func (m *model) bottom(now, work time.Duration, done func(time.Duration)) {
	run := func(now time.Duration) {
		took := time.Duration(float64(work) * (0.5 + m.random.Float64()))
		m.after(now, took, func(now time.Duration) {
			m.busy--
			if len(m.waiting) > 0 {
				next := m.waiting[0]
				m.waiting = m.waiting[1:]
				m.busy++
				next(now)
			}
			m.gauge.Observe(now, m.busy+len(m.waiting), bottomSlots)
			done(now)
		})
	}
	if m.busy < bottomSlots {
		m.busy++
		run(now)
	} else {
		m.waiting = append(m.waiting, run)
	}
	m.gauge.Observe(now, m.busy+len(m.waiting), bottomSlots)
}

// request plays one request of a kind.
func (m *model) request(now time.Duration, at int, k kind) {
	m.begun[k.rank]++
	if w := m.windows[at]; w != nil && !w.TryAcquire() {
		return
	}
	open := k.rows
	end := func() {
		if w := m.windows[at]; w != nil {
			w.Release()
		}
	}
	finished := func(done time.Duration) {
		open--
		if open > 0 {
			return
		}
		end()
		if done-now <= k.timeout {
			m.whole[k.rank]++
			m.worth += k.worth
		}
	}
	for range k.rows {
		m.row(now, now+k.timeout, k, k.calls, finished)
	}
}

// row makes calls one after the other until the request's time is over.
func (m *model) row(now, deadline time.Duration, k kind, left int, done func(time.Duration)) {
	if left == 0 || now > deadline {
		done(now)
		return
	}
	m.after(now, between, func(now time.Duration) {
		m.bottom(now, k.work, func(now time.Duration) { m.row(now, deadline, k, left-1, done) })
	})
}

func play(seed uint64, load float64, length time.Duration, bounded bool) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), windows: make([]*Window, ranks)}
	all := kinds(load)
	for at, k := range all {
		if bounded && k.calls > 1 {
			m.windows[at] = NewWindow(0, 3*76)
		}
		m.arrive(0, at, k)
	}
	var adapt func(time.Duration)
	adapt = func(now time.Duration) {
		pressure := m.gauge.Pressure(now)
		m.after(now, 100*time.Millisecond, func(now time.Duration) { // the news takes its time
			for at, w := range m.windows {
				if w != nil {
					w.Adapt(now, pressure, all[at].rank, ranks, 3*76)
				}
			}
		})
		m.after(now, 50*time.Millisecond, adapt)
	}
	adapt(0)
	for len(m.events) > 0 && m.events[0].at < length {
		next := heap.Pop(&m.events).(moment)
		next.do(next.at)
	}
	return m
}

func (m *model) arrive(now time.Duration, at int, k kind) {
	wait := time.Duration(m.random.ExpFloat64() / k.perSecond * float64(time.Second))
	m.after(now, wait, func(now time.Duration) {
		m.request(now, at, k)
		m.arrive(now, at, k)
	})
}

func TestOverloadKeepsWhatPaysMost(t *testing.T) {
	const length = 20 * time.Second
	for _, load := range []float64{0.7, 1.6, 3} {
		with, without := 0.0, 0.0
		for seed := range uint64(5) {
			best := ideal(load) * length.Seconds()
			m := play(seed, load, length, true)
			with += m.worth / best / 5
			without += play(seed, load, length, false).worth / best / 5
			t.Logf("load %.1f seed %d: %.3f of ideal, bookings %d of %d, status %d of %d, histories %d of %d",
				load, seed, m.worth/best, m.whole[0], m.begun[0], m.whole[1], m.begun[1], m.whole[2], m.begun[2])
		}
		t.Logf("load %.1f: %.3f of ideal with windows, %.3f without", load, with, without)
		require.GreaterOrEqual(t, with, 0.85, "load %v", load)
		require.GreaterOrEqual(t, with, without)
	}
}

func TestImportantRequestsAreKept(t *testing.T) {
	m := play(1, 1.6, 20*time.Second, true)
	require.GreaterOrEqual(t, float64(m.whole[0]), 0.95*float64(m.begun[0]), "bookings fit into the slots")
	require.GreaterOrEqual(t, float64(m.whole[1]), 0.95*float64(m.begun[1]))
	require.Positive(t, m.whole[2])
}

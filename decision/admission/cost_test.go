package admission

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

// entryBytes is the memory of one queued call.
const entryBytes = 32

// busy is a gate of 70 slots under three times the load that it can take.
type busy struct {
	gate    *Controller
	now     time.Duration
	next    ID
	running []ID // first come first served
	out     []CallDecision
}

func newBusy() *busy {
	b := &busy{gate: NewController(Config{SlotsMax: 70, QueueMax: 1000})}
	for range 100000 {
		b.turn()
	}
	return b
}

// turn offers three calls and ends one.
func (b *busy) turn() {
	b.now += 300 * time.Microsecond
	for range 3 {
		b.offer()
	}
	id := b.running[0]
	copy(b.running, b.running[1:])
	b.running = b.running[:len(b.running)-1]
	b.out = b.gate.Complete(b.now, id, Result{Outcome: OutcomeAnswered, Duration: serviceTime}, b.out[:0])
	b.follow()
}

func (b *busy) offer() {
	b.next++
	hash := uint64(b.next) * 0x9E3779B97F4A7C15 >> 20
	o := Call{ID: b.next, Priority: priority.New(1, hash), Deadline: b.now + time.Second}
	v, out := b.gate.Admit(b.now, o, b.out[:0])
	b.out = out
	if v == DecisionRun {
		b.running = append(b.running, b.next)
	}
	b.follow()
}

func (b *busy) follow() {
	for _, r := range b.out {
		if r.Decision == DecisionRun {
			b.running = append(b.running, r.ID)
		}
	}
}

func TestDecisionsAllocateNothing(t *testing.T) {
	b := newBusy()
	require.Positive(t, b.gate.State().Queued)
	require.Zero(t, testing.AllocsPerRun(10000, b.turn))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		b.out = b.gate.Tick(b.now, b.out[:0])
		b.gate.Threshold(b.now)
		b.gate.Headroom()
	}))
}

func TestBytesPerQueuedCall(t *testing.T) {
	require.EqualValues(t, entryBytes, unsafe.Sizeof(entry{}))
}

// One operation is three offers, one end and the releases between them.
func BenchmarkOverload(b *testing.B) {
	g := newBusy()
	b.ReportAllocs()
	for b.Loop() {
		g.turn()
	}
}

// One operation is an offer that is run and its end.
func BenchmarkLightLoad(b *testing.B) {
	g := NewController(Config{SlotsMax: 70, QueueMax: 1000})
	out := make([]CallDecision, 0, 16)
	now := time.Duration(0)
	id := ID(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		id++
		_, out = g.Admit(now, Call{ID: id, Deadline: now + time.Second}, out[:0])
		out = g.Complete(now, id, Result{Outcome: OutcomeAnswered, Duration: serviceTime}, out[:0])
	}
}

// One operation is a tick with a full queue.
func BenchmarkTick(b *testing.B) {
	g := newBusy()
	b.ReportAllocs()
	for b.Loop() {
		g.out = g.gate.Tick(g.now, g.out[:0])
	}
}

// One operation takes a call out of the largest queue and puts one in.
func BenchmarkLargestQueue(b *testing.B) {
	q := queue{}
	for i := range queueMost {
		q.insert(entry{id: ID(i), priority: priority.Priority(i)})
	}
	b.ReportAllocs()
	id := ID(0)
	for b.Loop() {
		id = (id + 389) % queueMost
		q.remove(id)
		q.insert(entry{id: id, priority: priority.Priority(id)})
	}
}

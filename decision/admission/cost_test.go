package admission

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

// queuedCallBytes is the memory that one queued call takes.
const queuedCallBytes = 32

// overloadedController drives a Controller with 70 slots at three times its
// capacity.
type overloadedController struct {
	controller *Controller
	now        time.Duration
	lastID     ID
	running    []ID // in order of arrival at the endpoint
	out        []CallDecision
}

func newOverloadedController() *overloadedController {
	b := &overloadedController{controller: NewController(Config{SlotsMax: 70, QueueMax: 1000})}
	for range 100000 {
		b.step()
	}
	return b
}

// step offers three calls and completes one.
func (b *overloadedController) step() {
	b.now += 300 * time.Microsecond
	for range 3 {
		b.admit()
	}
	id := b.running[0]
	copy(b.running, b.running[1:])
	b.running = b.running[:len(b.running)-1]
	b.out = b.controller.Complete(b.now, id, Result{Outcome: OutcomeAnswered, Duration: serviceTime}, b.out[:0])
	b.collectStarted()
}

func (b *overloadedController) admit() {
	b.lastID++
	hash := uint64(b.lastID) * 0x9E3779B97F4A7C15 >> 20
	call := Call{ID: b.lastID, Priority: priority.New(1, hash), Deadline: b.now + time.Second}
	decision, out := b.controller.Admit(b.now, call, b.out[:0])
	b.out = out
	if decision == DecisionRun {
		b.running = append(b.running, b.lastID)
	}
	b.collectStarted()
}

func (b *overloadedController) collectStarted() {
	for _, r := range b.out {
		if r.Decision == DecisionRun {
			b.running = append(b.running, r.ID)
		}
	}
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	b := newOverloadedController()
	require.Positive(t, b.controller.State().Queued)
	require.Zero(t, testing.AllocsPerRun(10000, b.step))
	require.Zero(t, testing.AllocsPerRun(100, func() {
		b.out = b.controller.Tick(b.now, b.out[:0])
		b.controller.Threshold(b.now)
		b.controller.Headroom()
	}))
}

func TestBytesPerQueuedCall(t *testing.T) {
	require.EqualValues(t, queuedCallBytes, unsafe.Sizeof(queuedCall{}))
}

// BenchmarkOverload measures three admissions, one completion and the
// decisions that they cause.
func BenchmarkOverload(b *testing.B) {
	c := newOverloadedController()
	b.ReportAllocs()
	for b.Loop() {
		c.step()
	}
}

// BenchmarkLightLoad measures the admission and completion of one call that
// runs at once.
func BenchmarkLightLoad(b *testing.B) {
	c := NewController(Config{SlotsMax: 70, QueueMax: 1000})
	out := make([]CallDecision, 0, 16)
	now := time.Duration(0)
	id := ID(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		id++
		_, out = c.Admit(now, Call{ID: id, Deadline: now + time.Second}, out[:0])
		out = c.Complete(now, id, Result{Outcome: OutcomeAnswered, Duration: serviceTime}, out[:0])
	}
}

// BenchmarkTick measures a tick with a full queue.
func BenchmarkTick(b *testing.B) {
	c := newOverloadedController()
	b.ReportAllocs()
	for b.Loop() {
		c.out = c.controller.Tick(c.now, c.out[:0])
	}
}

// BenchmarkLargestQueue measures one removal from and one insertion into the
// largest queue.
func BenchmarkLargestQueue(b *testing.B) {
	q := queue{}
	for i := range queueLimitMax {
		q.insert(queuedCall{id: ID(i), priority: priority.Priority(i)})
	}
	b.ReportAllocs()
	id := ID(0)
	for b.Loop() {
		id = (id + 389) % queueLimitMax
		q.remove(id)
		q.insert(queuedCall{id: id, priority: priority.Priority(id)})
	}
}

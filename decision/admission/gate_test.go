package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	booking = priority.Priority(1)
	lookup  = priority.Priority(1 << 24)
)

// busyGate returns a gate of one slot that is taken by a running call with ID 1.
func busyGate(t *testing.T, c Config, p priority.Priority) *Controller {
	c.SlotsMax = 1
	g := NewController(c)
	v, out := g.Admit(0, Call{ID: 1, Priority: p, Deadline: time.Minute}, nil)
	require.Equal(t, DecisionRun, v)
	require.Empty(t, out)
	return g
}

func offer(g *Controller, now time.Duration, id ID, p priority.Priority) (Decision, []CallDecision) {
	return g.Admit(now, Call{ID: id, Priority: p, Deadline: now + time.Minute}, nil)
}

// answer ends the call with the given ID and starts the next one like it.
func answer(t *testing.T, g *Controller, now time.Duration, id ID, took time.Duration, p priority.Priority) {
	g.Complete(now, id, Result{Outcome: OutcomeAnswered, Duration: took}, nil)
	v, _ := offer(g, now, id, p)
	require.Equal(t, DecisionRun, v)
}

func TestMoreImportantCallEvicts(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 1}, lookup)
	verdict, _ := offer(g, 0, 2, lookup)
	require.Equal(t, DecisionQueue, verdict)
	verdict, _ = offer(g, 0, 3, lookup)
	require.Equal(t, DecisionShed, verdict, "the queue is full of calls as important")
	verdict, out := offer(g, 0, 4, booking)
	require.Equal(t, DecisionQueue, verdict)
	require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionShed}}, out)
	out = g.Complete(0, 1, Result{Outcome: OutcomeAnswered}, nil)
	require.Equal(t, []CallDecision{{ID: 4, Decision: DecisionRun}}, out)
}

func TestQueueOrder(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	for _, o := range []Call{
		{ID: 5, Priority: lookup, Deadline: time.Minute},
		{ID: 4, Priority: lookup, Deadline: time.Second},
		{ID: 3, Priority: booking, Deadline: time.Minute},
		{ID: 2, Priority: booking, Deadline: time.Second},
	} {
		g.Admit(0, o, nil)
	}
	for id := ID(1); id < 5; id++ {
		out := g.Complete(0, id, Result{Outcome: OutcomeAnswered}, nil)
		require.Equal(t, []CallDecision{{ID: id + 1, Decision: DecisionRun}}, out)
	}
}

func TestTooLate(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		desc     string
		queued   int
		deadline time.Duration
		want     Decision
	}{
		{"over", 0, 0, DecisionTooLate},
		{"less than an answer takes", 0, took / 2, DecisionTooLate},
		{"less than an answer and the wait for the slot", 0, 3 * took / 2, DecisionTooLate},
		{"enough", 0, 5 * took / 2, DecisionQueue},
		{"less than an answer and the wait behind others", 3, 5 * took / 2, DecisionTooLate},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			g := busyGate(t, Config{QueueMax: 10}, booking)
			now := time.Duration(0)
			for range samplesMax {
				now += took
				answer(t, g, now, 1, took, booking)
			}
			for i := range test.queued {
				offer(g, now, ID(10+i), booking)
			}
			v, _ := g.Admit(now, Call{ID: 2, Priority: lookup, Deadline: now + test.deadline}, nil)
			require.Equal(t, test.want, v)
		})
	}
}

func TestQueuedCallIsReleasedOnceItIsTooLate(t *testing.T) {
	const took = 100 * time.Millisecond
	g := busyGate(t, Config{QueueMax: 10}, booking)
	for i := range samplesMax {
		answer(t, g, time.Duration(i)*took, 1, took, booking)
	}
	now := samplesMax * took
	v, _ := g.Admit(now, Call{ID: 2, Priority: lookup, Deadline: now + 3*took}, nil)
	require.Equal(t, DecisionQueue, v)
	require.Empty(t, g.Tick(now+2*took-1, nil))
	require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionTooLate}}, g.Tick(now+2*took, nil))
}

// An idle endpoint is always tried: an estimate without new evidence may be out
// of date.
func TestIdleEndpointIsTried(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	for range samplesMax {
		answer(t, g, 0, 1, time.Minute/2, booking)
	}
	g.Complete(0, 1, Result{Outcome: OutcomeAnswered, Duration: time.Minute / 2}, nil)
	v, _ := g.Admit(0, Call{ID: 2, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, DecisionRun, v)
	v, _ = g.Admit(0, Call{ID: 3, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, DecisionTooLate, v, "one at a time")
}

func TestOverstayedCallsAreShedWithAllBelow(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	offer(g, 0, 2, booking)
	offer(g, waitMin, 3, booking+1)
	require.Empty(t, g.Tick(waitMin, nil))
	out := g.Tick(waitMin+1, nil)
	require.Equal(t, []CallDecision{{ID: 3, Decision: DecisionShed}, {ID: 2, Decision: DecisionShed}}, out)
}

func TestCancelRunning(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		desc    string
		allowed bool
		running priority.Priority
		age     time.Duration
		want    []CallDecision
	}{
		{"a young lookup", true, lookup, took / 4, []CallDecision{{ID: 1, Decision: DecisionCancelRunning}}},
		{"not allowed", false, lookup, took / 4, nil},
		{"an old lookup", true, lookup, 3 * took / 4, nil},
		{"another booking", true, booking + 1, took / 4, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			g := busyGate(t, Config{QueueMax: 10, CancelRunning: test.allowed}, test.running)
			for range samplesMax {
				answer(t, g, 0, 1, took, test.running)
			}
			v, out := g.Admit(test.age, Call{ID: 2, Priority: booking, Deadline: test.age + 3*took/2}, nil)
			require.Equal(t, test.want, out)
			if test.want == nil {
				require.Equal(t, DecisionTooLate, v)
				return
			}
			require.Equal(t, DecisionQueue, v)
			out = g.Complete(test.age, 1, Result{Outcome: OutcomeCancelled, Duration: test.age}, nil)
			require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionRun}}, out)
		})
	}
}

func TestSmallerConfigShedsAndStartsNothing(t *testing.T) {
	g := NewController(Config{SlotsMax: 2, QueueMax: 2})
	for id := ID(1); id <= 4; id++ {
		offer(g, 0, id, priority.Priority(id))
	}
	g.SetConfig(Config{SlotsMax: 1, QueueMax: 1})
	require.Equal(t, []CallDecision{{ID: 4, Decision: DecisionShed}}, g.Tick(0, nil))
	require.Empty(t, g.Complete(0, 1, Result{Outcome: OutcomeAnswered}, nil))
	require.Equal(t, []CallDecision{{ID: 3, Decision: DecisionRun}}, g.Complete(0, 2, Result{Outcome: OutcomeAnswered}, nil))
	require.Zero(t, g.Headroom())
}

func TestCancelGivesSlotsBack(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 2}, booking)
	offer(g, 0, 2, booking)
	offer(g, 0, 3, booking+1)
	require.Empty(t, g.Cancel(0, 2, nil), "a queued call just goes")
	require.Equal(t, []CallDecision{{ID: 3, Decision: DecisionRun}}, g.Cancel(0, 1, nil))
	require.Empty(t, g.Complete(0, 1, Result{Outcome: OutcomeCancelled}, nil), "its end comes too late to matter")
	require.Equal(t, 1, g.State().Running)
}

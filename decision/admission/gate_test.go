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
func busyGate(t *testing.T, c Config, p priority.Priority) *Gate {
	c.SlotsMax = 1
	g := NewGate(c)
	v, out := g.Offer(0, Offer{ID: 1, Priority: p, Deadline: time.Minute}, nil)
	require.Equal(t, VerdictRun, v)
	require.Empty(t, out)
	return g
}

func offer(g *Gate, now time.Duration, id ID, p priority.Priority) (Verdict, []Release) {
	return g.Offer(now, Offer{ID: id, Priority: p, Deadline: now + time.Minute}, nil)
}

// answer ends the call with the given ID and starts the next one like it.
func answer(t *testing.T, g *Gate, now time.Duration, id ID, took time.Duration, p priority.Priority) {
	g.Done(now, id, Result{Outcome: OutcomeAnswered, Took: took}, nil)
	v, _ := offer(g, now, id, p)
	require.Equal(t, VerdictRun, v)
}

func TestMoreImportantCallEvicts(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 1}, lookup)
	verdict, _ := offer(g, 0, 2, lookup)
	require.Equal(t, VerdictQueued, verdict)
	verdict, _ = offer(g, 0, 3, lookup)
	require.Equal(t, VerdictShed, verdict, "the queue is full of calls as important")
	verdict, out := offer(g, 0, 4, booking)
	require.Equal(t, VerdictQueued, verdict)
	require.Equal(t, []Release{{ID: 2, Verdict: VerdictShed}}, out)
	out = g.Done(0, 1, Result{Outcome: OutcomeAnswered}, nil)
	require.Equal(t, []Release{{ID: 4, Verdict: VerdictRun}}, out)
}

func TestQueueOrder(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	for _, o := range []Offer{
		{ID: 5, Priority: lookup, Deadline: time.Minute},
		{ID: 4, Priority: lookup, Deadline: time.Second},
		{ID: 3, Priority: booking, Deadline: time.Minute},
		{ID: 2, Priority: booking, Deadline: time.Second},
	} {
		g.Offer(0, o, nil)
	}
	for id := ID(1); id < 5; id++ {
		out := g.Done(0, id, Result{Outcome: OutcomeAnswered}, nil)
		require.Equal(t, []Release{{ID: id + 1, Verdict: VerdictRun}}, out)
	}
}

func TestTooLate(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		desc     string
		queued   int
		deadline time.Duration
		want     Verdict
	}{
		{"over", 0, 0, VerdictTooLate},
		{"less than an answer takes", 0, took / 2, VerdictTooLate},
		{"less than an answer and the wait for the slot", 0, 3 * took / 2, VerdictTooLate},
		{"enough", 0, 5 * took / 2, VerdictQueued},
		{"less than an answer and the wait behind others", 3, 5 * took / 2, VerdictTooLate},
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
			v, _ := g.Offer(now, Offer{ID: 2, Priority: lookup, Deadline: now + test.deadline}, nil)
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
	v, _ := g.Offer(now, Offer{ID: 2, Priority: lookup, Deadline: now + 3*took}, nil)
	require.Equal(t, VerdictQueued, v)
	require.Empty(t, g.Tick(now+2*took-1, nil))
	require.Equal(t, []Release{{ID: 2, Verdict: VerdictTooLate}}, g.Tick(now+2*took, nil))
}

// An idle endpoint is always tried: an estimate without new evidence may be out
// of date.
func TestIdleEndpointIsTried(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	for range samplesMax {
		answer(t, g, 0, 1, time.Minute/2, booking)
	}
	g.Done(0, 1, Result{Outcome: OutcomeAnswered, Took: time.Minute / 2}, nil)
	v, _ := g.Offer(0, Offer{ID: 2, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, VerdictRun, v)
	v, _ = g.Offer(0, Offer{ID: 3, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, VerdictTooLate, v, "one at a time")
}

func TestOverstayedCallsAreShedWithAllBelow(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 10}, booking)
	offer(g, 0, 2, booking)
	offer(g, waitMin, 3, booking+1)
	require.Empty(t, g.Tick(waitMin, nil))
	out := g.Tick(waitMin+1, nil)
	require.Equal(t, []Release{{ID: 3, Verdict: VerdictShed}, {ID: 2, Verdict: VerdictShed}}, out)
}

func TestCancelRunning(t *testing.T) {
	const took = 100 * time.Millisecond
	tests := []struct {
		desc    string
		allowed bool
		running priority.Priority
		age     time.Duration
		want    []Release
	}{
		{"a young lookup", true, lookup, took / 4, []Release{{ID: 1, Verdict: VerdictCancelRunning}}},
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
			v, out := g.Offer(test.age, Offer{ID: 2, Priority: booking, Deadline: test.age + 3*took/2}, nil)
			require.Equal(t, test.want, out)
			if test.want == nil {
				require.Equal(t, VerdictTooLate, v)
				return
			}
			require.Equal(t, VerdictQueued, v)
			out = g.Done(test.age, 1, Result{Outcome: OutcomeCancelled, Took: test.age}, nil)
			require.Equal(t, []Release{{ID: 2, Verdict: VerdictRun}}, out)
		})
	}
}

func TestSmallerConfigShedsAndStartsNothing(t *testing.T) {
	g := NewGate(Config{SlotsMax: 2, QueueMax: 2})
	for id := ID(1); id <= 4; id++ {
		offer(g, 0, id, priority.Priority(id))
	}
	g.SetConfig(Config{SlotsMax: 1, QueueMax: 1})
	require.Equal(t, []Release{{ID: 4, Verdict: VerdictShed}}, g.Tick(0, nil))
	require.Empty(t, g.Done(0, 1, Result{Outcome: OutcomeAnswered}, nil))
	require.Equal(t, []Release{{ID: 3, Verdict: VerdictRun}}, g.Done(0, 2, Result{Outcome: OutcomeAnswered}, nil))
	require.Zero(t, g.Headroom())
}

func TestCancelGivesSlotsBack(t *testing.T) {
	g := busyGate(t, Config{QueueMax: 2}, booking)
	offer(g, 0, 2, booking)
	offer(g, 0, 3, booking+1)
	require.Empty(t, g.Cancel(0, 2, nil), "a queued call just goes")
	require.Equal(t, []Release{{ID: 3, Verdict: VerdictRun}}, g.Cancel(0, 1, nil))
	require.Empty(t, g.Done(0, 1, Result{Outcome: OutcomeCancelled}, nil), "its end comes too late to matter")
	require.Equal(t, 1, g.State().Running)
}

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

// newFullController returns a Controller whose only slot is taken by a running
// call with ID 1.
func newFullController(t *testing.T, config Config, p priority.Priority) *Controller {
	config.SlotsMax = 1
	c := NewController(config)
	decision, out := c.Admit(0, Call{ID: 1, Priority: p, Deadline: time.Minute}, nil)
	require.Equal(t, DecisionRun, decision)
	require.Empty(t, out)
	return c
}

func admitAt(c *Controller, now time.Duration, id ID, p priority.Priority) (Decision, []CallDecision) {
	return c.Admit(now, Call{ID: id, Priority: p, Deadline: now + time.Minute}, nil)
}

// completeAndAdmit completes the call with the given ID and starts another one
// with the same ID.
func completeAndAdmit(t *testing.T, c *Controller, now time.Duration, id ID, took time.Duration, p priority.Priority) {
	c.Complete(now, id, Result{Outcome: OutcomeAnswered, Duration: took}, nil)
	decision, _ := admitAt(c, now, id, p)
	require.Equal(t, DecisionRun, decision)
}

func TestMoreImportantCallEvicts(t *testing.T) {
	c := newFullController(t, Config{QueueMax: 1}, lookup)
	decision, _ := admitAt(c, 0, 2, lookup)
	require.Equal(t, DecisionQueue, decision)
	decision, _ = admitAt(c, 0, 3, lookup)
	require.Equal(t, DecisionShed, decision, "the queue holds no less important call")
	decision, out := admitAt(c, 0, 4, booking)
	require.Equal(t, DecisionQueue, decision)
	require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionShed}}, out)
	out = c.Complete(0, 1, Result{Outcome: OutcomeAnswered}, nil)
	require.Equal(t, []CallDecision{{ID: 4, Decision: DecisionRun}}, out)
}

func TestQueueOrder(t *testing.T) {
	c := newFullController(t, Config{QueueMax: 10}, booking)
	for _, o := range []Call{
		{ID: 5, Priority: lookup, Deadline: time.Minute},
		{ID: 4, Priority: lookup, Deadline: time.Second},
		{ID: 3, Priority: booking, Deadline: time.Minute},
		{ID: 2, Priority: booking, Deadline: time.Second},
	} {
		c.Admit(0, o, nil)
	}
	for id := ID(1); id < 5; id++ {
		out := c.Complete(0, id, Result{Outcome: OutcomeAnswered}, nil)
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
		{"deadline passed", 0, 0, DecisionTooLate},
		{"less time than the response time", 0, took / 2, DecisionTooLate},
		{"less time than the response time and the wait for a slot", 0, 3 * took / 2, DecisionTooLate},
		{"enough time", 0, 5 * took / 2, DecisionQueue},
		{"less time than the response time and the wait behind queued calls", 3, 5 * took / 2, DecisionTooLate},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newFullController(t, Config{QueueMax: 10}, booking)
			now := time.Duration(0)
			for range sampleCount {
				now += took
				completeAndAdmit(t, c, now, 1, took, booking)
			}
			for i := range test.queued {
				admitAt(c, now, ID(10+i), booking)
			}
			decision, _ := c.Admit(now, Call{ID: 2, Priority: lookup, Deadline: now + test.deadline}, nil)
			require.Equal(t, test.want, decision)
		})
	}
}

func TestTickRefusesQueuedCallThatIsTooLate(t *testing.T) {
	const took = 100 * time.Millisecond
	c := newFullController(t, Config{QueueMax: 10}, booking)
	for i := range sampleCount {
		completeAndAdmit(t, c, time.Duration(i)*took, 1, took, booking)
	}
	now := sampleCount * took
	decision, _ := c.Admit(now, Call{ID: 2, Priority: lookup, Deadline: now + 3*took}, nil)
	require.Equal(t, DecisionQueue, decision)
	require.Empty(t, c.Tick(now+2*took-1, nil))
	require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionTooLate}}, c.Tick(now+2*took, nil))
}

// An idle endpoint always gets a call: without recent responses the response
// time estimate may be outdated.
func TestIdleEndpointIsProbed(t *testing.T) {
	c := newFullController(t, Config{QueueMax: 10}, booking)
	for range sampleCount {
		completeAndAdmit(t, c, 0, 1, time.Minute/2, booking)
	}
	c.Complete(0, 1, Result{Outcome: OutcomeAnswered, Duration: time.Minute / 2}, nil)
	decision, _ := c.Admit(0, Call{ID: 2, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, DecisionRun, decision)
	decision, _ = c.Admit(0, Call{ID: 3, Priority: lookup, Deadline: time.Second}, nil)
	require.Equal(t, DecisionTooLate, decision, "only one probe runs at a time")
}

func TestTickShedsExpiredAndLessImportantCalls(t *testing.T) {
	c := newFullController(t, Config{QueueMax: 10}, booking)
	admitAt(c, 0, 2, booking)
	admitAt(c, queueWaitMin, 3, booking+1)
	require.Empty(t, c.Tick(queueWaitMin, nil))
	out := c.Tick(queueWaitMin+1, nil)
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
		{"lookup that just started", true, lookup, took / 4, []CallDecision{{ID: 1, Decision: DecisionCancelRunning}}},
		{"cancellation not permitted", false, lookup, took / 4, nil},
		{"lookup close to its end", true, lookup, 3 * took / 4, nil},
		{"call of the same class", true, booking + 1, took / 4, nil},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newFullController(t, Config{QueueMax: 10, CancelRunning: test.allowed}, test.running)
			for range sampleCount {
				completeAndAdmit(t, c, 0, 1, took, test.running)
			}
			decision, out := c.Admit(test.age, Call{ID: 2, Priority: booking, Deadline: test.age + 3*took/2}, nil)
			require.Equal(t, test.want, out)
			if test.want == nil {
				require.Equal(t, DecisionTooLate, decision)
				return
			}
			require.Equal(t, DecisionQueue, decision)
			out = c.Complete(test.age, 1, Result{Outcome: OutcomeCancelled, Duration: test.age}, nil)
			require.Equal(t, []CallDecision{{ID: 2, Decision: DecisionRun}}, out)
		})
	}
}

func TestSmallerConfigShedsAndStartsNothing(t *testing.T) {
	c := NewController(Config{SlotsMax: 2, QueueMax: 2})
	for id := ID(1); id <= 4; id++ {
		admitAt(c, 0, id, priority.Priority(id))
	}
	c.SetConfig(Config{SlotsMax: 1, QueueMax: 1})
	require.Equal(t, []CallDecision{{ID: 4, Decision: DecisionShed}}, c.Tick(0, nil))
	require.Empty(t, c.Complete(0, 1, Result{Outcome: OutcomeAnswered}, nil))
	require.Equal(t, []CallDecision{{ID: 3, Decision: DecisionRun}}, c.Complete(0, 2, Result{Outcome: OutcomeAnswered}, nil))
	require.Zero(t, c.Headroom())
}

func TestCancelFreesSlot(t *testing.T) {
	c := newFullController(t, Config{QueueMax: 2}, booking)
	admitAt(c, 0, 2, booking)
	admitAt(c, 0, 3, booking+1)
	require.Empty(t, c.Cancel(0, 2, nil), "removing a queued call starts no other")
	require.Equal(t, []CallDecision{{ID: 3, Decision: DecisionRun}}, c.Cancel(0, 1, nil))
	require.Empty(t, c.Complete(0, 1, Result{Outcome: OutcomeCancelled}, nil), "the end of a cancelled call is ignored")
	require.Equal(t, 1, c.State().Running)
}

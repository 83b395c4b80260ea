package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/decision/priority"
)

// TestMain sets the default number and seed of the random histories. Command
// line flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.seed": "4"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// callState is the state of a call as its caller knows it.
type callState uint8

const (
	callQueued callState = iota + 1
	callRunning
	callFinished
)

type trackedCall struct {
	offer           Call
	callState       callState
	cancelRequested bool
}

// oracle tracks what the callers know of every call and checks each decision.
type oracle struct {
	t          *rapid.T
	controller *Controller
	config     Config
	now        time.Duration
	calls      []*trackedCall // indexed by ID
	started    bool           // whether the last operation started a call
	offered    *trackedCall   // the call being offered, until its decision is known
}

func (o *oracle) idsInState(f callState) []ID {
	var ids []ID
	for i, c := range o.calls {
		if c.callState == f {
			ids = append(ids, ID(i))
		}
	}
	return ids
}

func (o *oracle) offer() {
	id := ID(len(o.calls))
	c := &trackedCall{offer: Call{
		ID:       id,
		Priority: priority.New(priority.Rank(rapid.IntRange(0, 2).Draw(o.t, "rank")), rapid.Uint64Range(0, 3).Draw(o.t, "hash")),
		Deadline: o.now + time.Duration(rapid.IntRange(0, 400).Draw(o.t, "deadline"))*time.Millisecond,
	}}
	o.calls = append(o.calls, c)
	o.offered = c
	decision, out := o.controller.Admit(o.now, c.offer, nil)
	// Decisions about queued calls precede the one about the new call, except
	// for an eviction, which makes room for it.
	o.applyAll(out)
	o.apply(id, decision)
	o.offered = nil
}

func (o *oracle) applyAll(out []CallDecision) {
	for _, d := range out {
		if d.Decision == DecisionCancelRunning {
			o.cancelRequested(d.ID)
			continue
		}
		require.Equal(o.t, callQueued, o.calls[d.ID].callState, "a decision concerns a call that is still queued")
		require.NotEqual(o.t, DecisionQueue, d.Decision)
		o.apply(d.ID, d.Decision)
	}
}

func (o *oracle) cancelRequested(id ID) {
	c := o.calls[id]
	require.True(o.t, o.config.CancelRunning)
	require.Equal(o.t, callRunning, c.callState)
	require.False(o.t, c.cancelRequested, "cancellation is requested once")
	require.NotNil(o.t, o.offered)
	require.Less(o.t, o.offered.offer.Priority.Rank(), c.offer.Priority.Rank(), "cancellation is in favour of a more important class")
	c.cancelRequested = true
}

func (o *oracle) apply(id ID, decision Decision) {
	c := o.calls[id]
	switch decision {
	case DecisionRun:
		c.callState = callRunning
		o.started = true
		for _, other := range o.idsInState(callQueued) {
			require.False(o.t, o.calls[other].offer.Priority.HigherThan(c.offer.Priority), "a more important call waits while this one is run")
		}
	case DecisionQueue:
		c.callState = callQueued
	case DecisionShed:
		c.callState = callFinished
		for _, other := range o.idsInState(callQueued) {
			require.False(o.t, c.offer.Priority.HigherThan(o.calls[other].offer.Priority), "a less important call waits while this one is shed")
		}
	case DecisionTooLate:
		c.callState = callFinished
	default:
		require.Fail(o.t, "invalid decision")
	}
}

func (o *oracle) complete() {
	ids := o.idsInState(callRunning)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(o.t, "done")
	o.calls[id].callState = callFinished
	r := Result{
		Outcome:  Outcome(rapid.IntRange(int(OutcomeAnswered), int(OutcomeCancelled)).Draw(o.t, "outcome")),
		Duration: time.Duration(rapid.IntRange(0, 200).Draw(o.t, "took")) * time.Millisecond,
	}
	o.applyAll(o.controller.Complete(o.now, id, r, nil))
	require.Empty(o.t, o.controller.Complete(o.now, id, r, nil), "a second completion is ignored")
}

func (o *oracle) cancel() {
	if len(o.calls) == 0 {
		return
	}
	id := ID(rapid.IntRange(0, len(o.calls)-1).Draw(o.t, "cancel"))
	o.calls[id].callState = callFinished
	o.applyAll(o.controller.Cancel(o.now, id, nil))
}

func (o *oracle) tick() {
	o.applyAll(o.controller.Tick(o.now, nil))
	for _, id := range o.idsInState(callQueued) {
		require.Greater(o.t, o.calls[id].offer.Deadline, o.now, "a tick refuses calls past their deadlines")
	}
}

func (o *oracle) configure() {
	o.config = drawConfig(o.t)
	o.controller.SetConfig(o.config)
	o.tick()
}

func drawConfig(t *rapid.T) Config {
	return Config{
		SlotsMax:      rapid.IntRange(1, 6).Draw(t, "slots"),
		QueueMax:      rapid.IntRange(0, 6).Draw(t, "queue"),
		CancelRunning: rapid.Bool().Draw(t, "cancel running"),
	}
}

func (o *oracle) step() {
	o.now += time.Duration(rapid.IntRange(0, 20).Draw(o.t, "ms")) * time.Millisecond
	before := o.controller.limiter.Limit()
	o.started = false
	switch kind := rapid.IntRange(0, 19).Draw(o.t, "kind"); {
	case kind < 10:
		o.offer()
	case kind < 16:
		o.complete()
	case kind < 17:
		o.cancel()
	case kind < 19:
		o.tick()
	default:
		o.configure()
	}
	o.check(before)
}

func (o *oracle) check(before int) {
	limit := o.controller.limiter.Limit()
	running := len(o.idsInState(callRunning))
	queued := len(o.idsInState(callQueued))
	if o.started {
		require.LessOrEqual(o.t, running, max(before, limit), "running calls exceed the limit")
		require.LessOrEqual(o.t, running, o.config.SlotsMax, "running calls exceed SlotsMax")
	}
	require.LessOrEqual(o.t, queued, o.config.QueueMax)
	if queued > 0 {
		require.GreaterOrEqual(o.t, running, limit, "a call is queued while a slot is free")
	}
	s := o.controller.State()
	require.Equal(o.t, running, s.Running)
	require.Equal(o.t, queued, s.Queued)
}

// TestHistories checks the invariants of the design note over random
// histories.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		o := &oracle{t: t, controller: NewController(c), config: c}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			o.step()
		}
	})
}

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

// TestMain sets the number of histories and their seed. Flags of the command
// line go before.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "10000", "rapid.seed": "4"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fate is where a call stands, as its caller knows it.
type fate uint8

const (
	fateQueued fate = iota + 1
	fateRunning
	fateOver
)

type tracked struct {
	offer      Call
	fate       fate
	cancelling bool
}

// oracle keeps what callers know of every call and checks each decision.
type oracle struct {
	t       *rapid.T
	gate    *Controller
	config  Config
	now     time.Duration
	calls   []*tracked // the ID is the index
	started bool       // by the last operation
	offered *tracked   // by the last operation, until its verdict is known
}

func (o *oracle) list(f fate) []ID {
	var ids []ID
	for i, c := range o.calls {
		if c.fate == f {
			ids = append(ids, ID(i))
		}
	}
	return ids
}

func (o *oracle) offer() {
	id := ID(len(o.calls))
	c := &tracked{offer: Call{
		ID:       id,
		Priority: priority.New(priority.Rank(rapid.IntRange(0, 2).Draw(o.t, "rank")), rapid.Uint64Range(0, 3).Draw(o.t, "hash")),
		Deadline: o.now + time.Duration(rapid.IntRange(0, 400).Draw(o.t, "deadline"))*time.Millisecond,
	}}
	o.calls = append(o.calls, c)
	o.offered = c
	verdict, out := o.gate.Admit(o.now, c.offer, nil)
	// Fates of queued calls come before the verdict, but for an eviction, which
	// makes the place of the new call.
	o.follow(out)
	o.decide(id, verdict)
	o.offered = nil
}

func (o *oracle) follow(out []CallDecision) {
	for _, r := range out {
		if r.Decision == DecisionCancelRunning {
			o.cancelling(r.ID)
			continue
		}
		require.Equal(o.t, fateQueued, o.calls[r.ID].fate, "only a queued call is released, once")
		require.NotEqual(o.t, DecisionQueue, r.Decision)
		o.decide(r.ID, r.Decision)
	}
}

func (o *oracle) cancelling(id ID) {
	c := o.calls[id]
	require.True(o.t, o.config.CancelRunning)
	require.Equal(o.t, fateRunning, c.fate)
	require.False(o.t, c.cancelling, "asked once")
	require.NotNil(o.t, o.offered)
	require.Less(o.t, o.offered.offer.Priority.Rank(), c.offer.Priority.Rank(), "only for a more important class")
	c.cancelling = true
}

func (o *oracle) decide(id ID, v Decision) {
	c := o.calls[id]
	switch v {
	case DecisionRun:
		c.fate = fateRunning
		o.started = true
		for _, other := range o.list(fateQueued) {
			require.False(o.t, o.calls[other].offer.Priority.Before(c.offer.Priority), "a more important call waits while this one is run")
		}
	case DecisionQueue:
		c.fate = fateQueued
	case DecisionShed:
		c.fate = fateOver
		for _, other := range o.list(fateQueued) {
			require.False(o.t, c.offer.Priority.Before(o.calls[other].offer.Priority), "a less important call waits while this one is shed")
		}
	case DecisionTooLate:
		c.fate = fateOver
	default:
		require.Fail(o.t, "no verdict")
	}
}

func (o *oracle) done() {
	ids := o.list(fateRunning)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(o.t, "done")
	o.calls[id].fate = fateOver
	r := Result{
		Outcome:  Outcome(rapid.IntRange(int(OutcomeAnswered), int(OutcomeCancelled)).Draw(o.t, "outcome")),
		Duration: time.Duration(rapid.IntRange(0, 200).Draw(o.t, "took")) * time.Millisecond,
	}
	o.follow(o.gate.Complete(o.now, id, r, nil))
	require.Empty(o.t, o.gate.Complete(o.now, id, r, nil), "a second end changes nothing")
}

func (o *oracle) cancel() {
	if len(o.calls) == 0 {
		return
	}
	id := ID(rapid.IntRange(0, len(o.calls)-1).Draw(o.t, "cancel"))
	o.calls[id].fate = fateOver
	o.follow(o.gate.Cancel(o.now, id, nil))
}

func (o *oracle) tick() {
	o.follow(o.gate.Tick(o.now, nil))
	for _, id := range o.list(fateQueued) {
		require.Greater(o.t, o.calls[id].offer.Deadline, o.now, "late calls are released by a tick")
	}
}

func (o *oracle) configure() {
	o.config = drawConfig(o.t)
	o.gate.SetConfig(o.config)
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
	before := o.gate.limiter.Limit()
	o.started = false
	switch kind := rapid.IntRange(0, 19).Draw(o.t, "kind"); {
	case kind < 10:
		o.offer()
	case kind < 16:
		o.done()
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
	limit := o.gate.limiter.Limit()
	running := len(o.list(fateRunning))
	queued := len(o.list(fateQueued))
	if o.started {
		require.LessOrEqual(o.t, running, max(before, limit), "running over the limit")
		require.LessOrEqual(o.t, running, o.config.SlotsMax, "running over the ceiling")
	}
	require.LessOrEqual(o.t, queued, o.config.QueueMax)
	if queued > 0 {
		require.GreaterOrEqual(o.t, running, limit, "a call waits beside a free slot")
	}
	s := o.gate.State()
	require.Equal(o.t, running, s.Running)
	require.Equal(o.t, queued, s.Queued)
}

// The invariants of the design note, over random histories.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		o := &oracle{t: t, gate: NewController(c), config: c}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			o.step()
		}
	})
}

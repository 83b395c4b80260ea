package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/admission"
	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/internal/problem"
)

// Limits of a gate before the first catalogue.
const (
	slotsBefore = 1
	queueBefore = 0
)

// gatekeeper puts calls through admission and wakes those that waited.
type gatekeeper struct {
	now    func() time.Duration
	queued chan struct{} // holds a value when a call began to wait

	mu      sync.Mutex
	gate    *admission.Controller
	nextID  admission.ID
	waiting map[admission.ID]chan admission.Decision
	cancels map[admission.ID]context.CancelCauseFunc
	buffer  []admission.CallDecision
}

// pass is the right of one call to be at the endpoint.
type pass struct {
	id      admission.ID
	started time.Duration
}

func newGatekeeper(now func() time.Duration) *gatekeeper {
	return &gatekeeper{
		now:     now,
		queued:  make(chan struct{}, 1),
		gate:    admission.NewController(admission.Config{SlotsMax: slotsBefore, QueueMax: queueBefore}),
		waiting: make(map[admission.ID]chan admission.Decision),
		cancels: make(map[admission.ID]context.CancelCauseFunc),
	}
}

func (g *gatekeeper) setLimits(slots, queue int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.SetConfig(admission.Config{SlotsMax: slots, QueueMax: queue})
}

// enter waits until the call may go to the endpoint. cancel is called when the
// gate wants the running call's slot back.
func (g *gatekeeper) enter(ctx context.Context, p priority.Priority, deadline time.Duration, cancel context.CancelCauseFunc) (pass, *problem.Error) {
	id, verdict, wait := g.offer(p, deadline, cancel)
	if verdict == admission.DecisionQueue {
		select {
		case verdict = <-wait:
		case <-ctx.Done():
			verdict = g.abandon(id, wait)
		}
	}
	if err := refusal(verdict); err != nil {
		g.forget(id)
		return pass{}, err
	}
	return pass{id: id, started: g.now()}, nil
}

func (g *gatekeeper) offer(p priority.Priority, deadline time.Duration, cancel context.CancelCauseFunc) (admission.ID, admission.Decision, chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	id := g.nextID
	verdict, out := g.gate.Admit(g.now(), admission.Call{ID: id, Priority: p, Deadline: deadline}, g.buffer[:0])
	g.buffer = out
	g.deliver(out)
	g.cancels[id] = cancel
	if verdict != admission.DecisionQueue {
		return id, verdict, nil
	}
	wait := make(chan admission.Decision, 1)
	if len(g.waiting) == 0 {
		g.wake()
	}
	g.waiting[id] = wait
	return id, verdict, wait
}

// wake makes Run look after the first call that waits.
func (g *gatekeeper) wake() {
	select {
	case g.queued <- struct{}{}:
	default:
	}
}

// abandon takes back a call whose caller is gone. The gate may have released it
// in the meantime; then its slot is given back.
func (g *gatekeeper) abandon(id admission.ID, wait chan admission.Decision) admission.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	select {
	case verdict := <-wait:
		if verdict != admission.DecisionRun {
			return verdict
		}
	default:
	}
	g.release(g.gate.Cancel(g.now(), id, g.buffer[:0]))
	return admission.DecisionTooLate
}

// leave gives the slot of a call back.
func (g *gatekeeper) leave(p pass, r admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, p.id)
	g.release(g.gate.Complete(g.now(), p.id, r, g.buffer[:0]))
}

func (g *gatekeeper) forget(id admission.ID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, id)
}

func (g *gatekeeper) tick() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(g.gate.Tick(g.now(), g.buffer[:0]))
}

func (g *gatekeeper) release(out []admission.CallDecision) {
	g.buffer = out
	g.deliver(out)
}

// deliver tells calls their fate. The caller holds the lock.
func (g *gatekeeper) deliver(out []admission.CallDecision) {
	for _, one := range out {
		if one.Decision == admission.DecisionCancelRunning {
			if cancel := g.cancels[one.ID]; cancel != nil {
				cancel(errMakeRoom)
			}
			continue
		}
		if wait, ok := g.waiting[one.ID]; ok {
			delete(g.waiting, one.ID)
			wait <- one.Decision
		}
	}
}

// threshold returns the first priority that is shed now and the headroom.
func (g *gatekeeper) threshold() (priority.Priority, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Threshold(g.now()), g.gate.Headroom()
}

func (g *gatekeeper) state() admission.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.State()
}

// refusal returns the problem for a verdict that is not to run.
func refusal(v admission.Decision) *problem.Error {
	switch v {
	case admission.DecisionRun:
		return nil
	case admission.DecisionTooLate:
		return problem.New(problem.KindDeadline, problem.NotExecuted, "the remaining time can't cover the endpoint's time to answer")
	default:
		return problem.New(problem.KindOverloaded, problem.NotExecuted, "the endpoint is kept for more important work")
	}
}

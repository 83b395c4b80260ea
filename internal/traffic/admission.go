package traffic

import (
	"context"
	"sync"
	"time"

	"github.com/galenacart/galenacart/decision/admission"
	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/internal/problem"
)

// Limits of admission until the first catalogue is applied.
const (
	initialSlotsMax = 1
	initialQueueMax = 0
)

// admissionController is an admission.Controller for concurrent use. It delivers
// decisions to the calls that wait for them.
type admissionController struct {
	now    func() time.Duration
	queued chan struct{} // receives a value when the first call is queued

	mu         sync.Mutex
	controller *admission.Controller
	nextID     admission.ID
	waiting    map[admission.ID]chan admission.Decision
	cancels    map[admission.ID]context.CancelCauseFunc
	buffer     []admission.CallDecision
}

// slot is one call's admission to the endpoint.
type slot struct {
	id      admission.ID
	started time.Duration
}

func newAdmissionController(now func() time.Duration) *admissionController {
	return &admissionController{
		now:        now,
		queued:     make(chan struct{}, 1),
		controller: admission.NewController(admission.Config{SlotsMax: initialSlotsMax, QueueMax: initialQueueMax}),
		waiting:    make(map[admission.ID]chan admission.Decision),
		cancels:    make(map[admission.ID]context.CancelCauseFunc),
	}
}

func (c *admissionController) setLimits(slots, queue int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.SetConfig(admission.Config{SlotsMax: slots, QueueMax: queue})
}

// acquire waits until the call is admitted to the endpoint. cancel is called when
// the running call is preempted.
func (c *admissionController) acquire(ctx context.Context, p priority.Priority, deadline time.Duration, cancel context.CancelCauseFunc) (slot, *problem.Error) {
	id, decision, wait := c.admit(p, deadline, cancel)
	if decision == admission.DecisionQueue {
		select {
		case decision = <-wait:
		case <-ctx.Done():
			decision = c.cancelQueued(id, wait)
		}
	}
	if err := refusal(decision); err != nil {
		c.removeCancel(id)
		return slot{}, err
	}
	return slot{id: id, started: c.now()}, nil
}

func (c *admissionController) admit(p priority.Priority, deadline time.Duration, cancel context.CancelCauseFunc) (admission.ID, admission.Decision, chan admission.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	id := c.nextID
	decision, decisions := c.controller.Admit(c.now(), admission.Call{ID: id, Priority: p, Deadline: deadline}, c.buffer[:0])
	c.buffer = decisions
	c.notify(decisions)
	c.cancels[id] = cancel
	if decision != admission.DecisionQueue {
		return id, decision, nil
	}
	wait := make(chan admission.Decision, 1)
	if len(c.waiting) == 0 {
		c.signalQueued()
	}
	c.waiting[id] = wait
	return id, decision, wait
}

// signalQueued makes Run check queued calls at the short interval.
func (c *admissionController) signalQueued() {
	select {
	case c.queued <- struct{}{}:
	default:
	}
}

// cancelQueued cancels a queued call whose context has ended. If the call was
// admitted in the meantime, its slot is released.
func (c *admissionController) cancelQueued(id admission.ID, wait chan admission.Decision) admission.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	select {
	case decision := <-wait:
		if decision != admission.DecisionRun {
			return decision
		}
	default:
	}
	c.dispatch(c.controller.Cancel(c.now(), id, c.buffer[:0]))
	return admission.DecisionTooLate
}

// release returns the slot of a completed call.
func (c *admissionController) release(s slot, r admission.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, s.id)
	c.dispatch(c.controller.Complete(c.now(), s.id, r, c.buffer[:0]))
}

// removeCancel drops the cancel function of a call that was refused.
func (c *admissionController) removeCancel(id admission.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cancels, id)
}

func (c *admissionController) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatch(c.controller.Tick(c.now(), c.buffer[:0]))
}

func (c *admissionController) dispatch(decisions []admission.CallDecision) {
	c.buffer = decisions
	c.notify(decisions)
}

// notify delivers decisions to the calls. The caller holds the lock.
func (c *admissionController) notify(decisions []admission.CallDecision) {
	for _, decided := range decisions {
		if decided.Decision == admission.DecisionCancelRunning {
			if cancel := c.cancels[decided.ID]; cancel != nil {
				cancel(errPreempted)
			}
			continue
		}
		if wait, ok := c.waiting[decided.ID]; ok {
			delete(c.waiting, decided.ID)
			wait <- decided.Decision
		}
	}
}

// threshold returns the first priority that is currently shed, and the headroom.
func (c *admissionController) threshold() (priority.Priority, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controller.Threshold(c.now()), c.controller.Headroom()
}

func (c *admissionController) state() admission.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controller.State()
}

// refusal returns the problem for a decision that refuses the call, or nil.
func refusal(d admission.Decision) *problem.Error {
	switch d {
	case admission.DecisionRun:
		return nil
	case admission.DecisionTooLate:
		return problem.New(problem.KindDeadline, problem.NotExecuted, "the remaining time can't cover the endpoint's time to answer")
	default:
		return problem.New(problem.KindOverloaded, problem.NotExecuted, "the endpoint is kept for more important work")
	}
}

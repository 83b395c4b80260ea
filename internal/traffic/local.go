package traffic

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/admission"
	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/problem"
)

// serveLocal runs a call at the local endpoint. A non-idempotent call is recorded
// under its attempt ID, so that the node that sent it can query its outcome.
func (t *Traffic) serveLocal(ctx context.Context, m *call.Meta, q *request) *answer {
	r, err := t.localRoute(m, q)
	if err != nil {
		return rejectedAnswer(m, err)
	}
	if r.Idempotent {
		return t.admitAndRun(ctx, m, q, r)
	}
	return t.attempts.do(ctx, idempotency.Key(m.Attempt), q.fingerprint, func() *answer {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.Remaining())
		a := t.admitAndRun(detached, m, q, r)
		return a.onClose(cancel)
	})
}

func (t *Traffic) localRoute(m *call.Meta, q *request) (*catalogue.Route, *problem.Error) {
	v := t.view()
	switch {
	case t.Leaving():
		return nil, problem.New(problem.KindLeaving, problem.NotExecuted, "VM %s is leaving", t.config.Settings.VM)
	case v.Index == nil:
		return nil, problem.New(problem.KindNotReady, problem.NotExecuted, "VM %s has no catalogue yet", t.config.Settings.VM)
	case t.stallMonitor.isStalled():
		return nil, problem.New(problem.KindUnreachable, problem.NotExecuted, "the endpoint of VM %s doesn't answer", t.config.Settings.VM)
	case m.Service != t.config.Settings.Service:
		return nil, problem.New(problem.KindUnreachable, problem.NotExecuted, "VM %s serves %s", t.config.Settings.VM, t.config.Settings.Service)
	}
	r := v.Index.Route(m.Method, q.path)
	if r == nil {
		return nil, problem.New(problem.KindNoRoute, problem.NotExecuted, "no route for %s %s", m.Method, q.path)
	}
	return r, nil
}

// rejectedAnswer returns the answer to a call that was not sent to the endpoint.
// It returns the whole retry budget that was passed with the call.
func rejectedAnswer(m *call.Meta, e *problem.Error) *answer {
	a := problemAnswer(e)
	a.unspentRetries = int(m.RetryBudget)
	return a
}

// admitAndRun runs a call at the endpoint, or refuses it because of load shedding,
// crash suspicion or admission control.
func (t *Traffic) admitAndRun(ctx context.Context, m *call.Meta, q *request, r *catalogue.Route) *answer {
	deadline := t.config.Now() + m.Remaining()
	if !m.Priority.HigherThan(t.downstreamThreshold(r.Name)) {
		return rejectedAnswer(m, problem.New(problem.KindOverloaded, problem.NotExecuted, "calls below route %s are shed", r.Name))
	}
	for _, loss := range m.EndpointLosses {
		t.suspects.merge(loss)
	}
	running := t.suspects.acquire(ctx, q.fingerprint)
	if running == nil {
		t.config.Log.Emit(event.SuspectRefused, m.Correlation, event.F("fingerprint", q.fingerprint))
		return rejectedAnswer(m, problem.New(problem.KindSuspect, problem.NotExecuted, "endpoints that ran this request broke down"))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	admitted, refused := t.admissionControl.acquire(ctx, m.Priority, deadline, cancel)
	if refused != nil {
		t.suspects.release(running, false)
		cancel(nil)
		return rejectedAnswer(m, refused)
	}
	e := &execution{traffic: t, meta: m, request: q, route: r, running: running, slot: admitted, deadline: deadline, cancel: cancel}
	return e.run(ctx)
}

// execution is one call that runs at the local endpoint.
type execution struct {
	traffic  *Traffic
	meta     *call.Meta
	request  *request
	route    *catalogue.Route
	running  *runningCall
	slot     slot
	deadline time.Duration
	cancel   context.CancelCauseFunc
	parent   *parent
}

func (e *execution) run(ctx context.Context) *answer {
	t := e.traffic
	e.parent = &parent{
		ctx:          ctx,
		root:         e.meta.Root,
		priority:     e.meta.Priority,
		deadline:     e.deadline,
		depth:        e.meta.Depth,
		correlation:  e.meta.Correlation,
		route:        e.route.Name,
		idempotent:   e.route.Idempotent,
		cancelCause:  e.cancel,
		retryBudget:  newSharedBudget(int(e.meta.RetryBudget)),
		losses:       newLosses(e.meta.EndpointLosses, e.meta.PossibleCrash),
		origin:       origin{vm: e.meta.Origin, incarnation: e.meta.OriginIncarnation},
		childRecords: newRecordTable(t.config.Now, newMemoryBudget(initialAnswerMemoryBytes)),
		childStates:  make(map[uint64]*childState),
	}
	t.parents.add(e.meta.Attempt, e.parent)
	a, err := t.local.send(ctx, e.meta.Attempt, e.request, e.deadline-t.config.Now(), e.cancel)
	if err != nil {
		a = problemAnswer(e.endpointProblem(ctx, err))
		e.parent.losses.add(t.suspects.losses(e.request.fingerprint))
		e.addDownstreamState(a)
		e.finish(admissionOutcome(a, ctx))
		return a
	}
	if e.refusedByEndpoint(a.status) {
		a.close()
		a = problemAnswer(problem.New(problem.KindEndpointRefused, problem.NotExecuted, "the endpoint refused with status %d", a.status))
		e.addDownstreamState(a)
		e.finish(admission.OutcomeRefused)
		return a
	}
	t.stallMonitor.recordAnswer()
	e.addDownstreamState(a)
	return a.onClose(func() { e.finish(admission.OutcomeAnswered) })
}

// addDownstreamState adds the unspent retry budget and the endpoint losses of the
// call and its downstream calls to the answer.
func (e *execution) addDownstreamState(a *answer) {
	a.unspentRetries = e.parent.retryBudget.remaining()
	a.losses = e.parent.losses.list()
	a.possibleCrash = e.parent.possibleCrash()
}

// finish releases everything that the call holds.
func (e *execution) finish(o admission.Outcome) {
	t := e.traffic
	now := t.config.Now()
	t.parents.remove(e.meta.Attempt)
	e.cancel(errParentEnded)
	t.suspects.release(e.running, o == admission.OutcomeAnswered)
	t.admissionControl.release(e.slot, admission.Result{
		Outcome:        o,
		Duration:       now - e.slot.started,
		DownstreamWait: e.parent.downstreamWait(now),
	})
}

func (e *execution) refusedByEndpoint(status int) bool {
	v := e.traffic.config.View.Load()
	if v.Index == nil {
		return false
	}
	s := v.Index.Service(e.traffic.config.Settings.Service)
	if s == nil {
		return false
	}
	for _, refusal := range s.RefusalStatuses {
		if refusal == status {
			return true
		}
	}
	return false
}

// endpointProblem classifies a failed exchange with the endpoint.
func (e *execution) endpointProblem(ctx context.Context, err error) *problem.Error {
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		return problem.New(problem.KindUnreachable, problem.NotExecuted, "the endpoint can't be reached: %v", err)
	case errors.Is(context.Cause(ctx), errPreempted):
		return problem.New(problem.KindOverloaded, problem.ExecutionUnknown, "the call was cancelled for more important work")
	case errors.Is(context.Cause(ctx), errEndpointStalled):
		return problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the endpoint doesn't answer")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || e.traffic.config.Now() >= e.deadline:
		return problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the endpoint didn't answer in time")
	case ctx.Err() != nil:
		return problem.New(problem.KindCancelled, problem.ExecutionUnknown, "the caller went away")
	case errors.Is(err, io.ErrUnexpectedEOF):
		e.checkForCrash()
		return problem.New(problem.KindAnswerInvalid, problem.ExecutionUnknown, "the endpoint's answer broke off")
	default:
		e.checkForCrash()
		return problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the connection to the endpoint broke: %v", err)
	}
}

// checkForCrash checks whether the endpoint has crashed and reports the requests
// that may have caused it. It returns after the other nodes of the service have
// been informed, so that no resend after the answer reaches them first.
func (e *execution) checkForCrash() {
	t := e.traffic
	if t.stallMonitor.isDraining() || !t.local.down() {
		return
	}
	suspected, published := t.suspects.recordCrash(e.running)
	if suspected == nil {
		<-published
		return
	}
	defer close(published)
	for _, fingerprint := range suspected {
		t.config.Log.Emit(event.EndpointCrashed, e.meta.Correlation, event.F("fingerprint", fingerprint))
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportEndpointCrashed, VM: t.config.Settings.VM, Fingerprint: fingerprint})
	}
	t.publishLosses(suspected)
}

func admissionOutcome(a *answer, ctx context.Context) admission.Outcome {
	switch {
	case a.problem.Kind == problem.KindUnreachable:
		return admission.OutcomeRefused
	case ctx.Err() != nil:
		return admission.OutcomeCancelled
	default:
		return admission.OutcomeFailed
	}
}

// reply describes the answer and the state of this node to the node that sent
// the call.
func (t *Traffic) reply(m *call.Meta, path string, a *answer) *call.Reply {
	threshold, headroom := t.admissionControl.threshold()
	if downstream := t.downstreamThresholdFor(m.Method, path); downstream.HigherThan(threshold) {
		threshold = downstream
		headroom = 0
	}
	r := &call.Reply{
		Attempt:        m.Attempt,
		RetryBudget:    uint16(max(a.unspentRetries, 0)),
		ShedThreshold:  threshold,
		Headroom:       uint16(min(headroom, 1<<16-1)),
		Leaving:        t.Leaving(),
		Clock:          t.config.Log.Clock().Tick(),
		Incarnation:    t.config.Incarnation,
		EndpointLosses: a.losses,
		PossibleCrash:  a.possibleCrash,
	}
	if a.problem != nil {
		r.Kind = a.problem.Kind.String()
		r.Ran = a.problem.Execution.String()
		r.Detail = a.problem.Detail
		return r
	}
	r.Status = uint16(a.status)
	r.DeclaredLength = a.declaredLength
	return r
}

// downstreamThresholdFor returns the downstream threshold of the route of a method
// and path, or the lowest priority if there is none.
func (t *Traffic) downstreamThresholdFor(method, path string) priority.Priority {
	v := t.config.View.Load()
	if v.Index == nil {
		return priority.Lowest
	}
	r := v.Index.Route(method, path)
	if r == nil {
		return priority.Lowest
	}
	return t.downstreamThreshold(r.Name)
}

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

// serveLocal runs a call at the local endpoint. A non-idempotent call is
// recorded under its attempt, so that the node that sent it can ask for its
// fate.
func (t *Traffic) serveLocal(ctx context.Context, m *call.Meta, q *request) *answer {
	r, err := t.localRoute(m, q)
	if err != nil {
		return turnedAway(m, err)
	}
	if r.Idempotent {
		return t.admit(ctx, m, q, r)
	}
	return t.attempts.do(ctx, idempotency.Key(m.Attempt), q.fingerprint, func() *answer {
		detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.Remaining())
		a := t.admit(detached, m, q, r)
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
	case t.watch.isStalled():
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

// turnedAway returns the answer to a call that the endpoint never saw. The whole
// part of the retry budget that came with the call goes back.
func turnedAway(m *call.Meta, e *problem.Error) *answer {
	a := failed(e)
	a.retries = int(m.RetryBudget)
	return a
}

// admit puts a call through the guards in front of the endpoint and runs it.
func (t *Traffic) admit(ctx context.Context, m *call.Meta, q *request, r *catalogue.Route) *answer {
	deadline := t.config.Now() + m.Remaining()
	if !m.Priority.Before(t.shedBelow(r.Name)) {
		return turnedAway(m, problem.New(problem.KindOverloaded, problem.NotExecuted, "calls below route %s are shed", r.Name))
	}
	for _, loss := range m.EndpointLosses {
		t.suspects.lost(loss)
	}
	guard := t.suspects.enter(ctx, q.fingerprint)
	if guard == nil {
		t.config.Log.Emit(event.SuspectRefused, m.Correlation, event.F("fingerprint", q.fingerprint))
		return turnedAway(m, problem.New(problem.KindSuspect, problem.NotExecuted, "endpoints that ran this request broke down"))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	entry, refused := t.gate.enter(ctx, m.Priority, deadline, cancel)
	if refused != nil {
		t.suspects.leave(guard, false)
		cancel(nil)
		return turnedAway(m, refused)
	}
	e := &execution{traffic: t, meta: m, request: q, route: r, guard: guard, pass: entry, deadline: deadline, cancel: cancel}
	return e.run(ctx)
}

// execution is one call at the local endpoint.
type execution struct {
	traffic  *Traffic
	meta     *call.Meta
	request  *request
	route    *catalogue.Route
	guard    *run
	pass     pass
	deadline time.Duration
	cancel   context.CancelCauseFunc
	parent   *parent
}

func (e *execution) run(ctx context.Context) *answer {
	t := e.traffic
	e.parent = &parent{
		ctx:         ctx,
		root:        e.meta.Root,
		priority:    e.meta.Priority,
		deadline:    e.deadline,
		depth:       e.meta.Depth,
		correlation: e.meta.Correlation,
		route:       e.route.Name,
		idempotent:  e.route.Idempotent,
		abandon:     e.cancel,
		pool:        newBudget(int(e.meta.RetryBudget)),
		losses:      newLosses(e.meta.EndpointLosses, e.meta.PossibleCrash),
		origin:      origin{vm: e.meta.Origin, incarnation: e.meta.OriginIncarnation},
		children:    newRecords(t.config.Now, newRoom(roomBefore)),
		seen:        make(map[uint64]*childState),
	}
	t.parents.add(e.meta.Attempt, e.parent)
	a, err := t.local.send(ctx, e.meta.Attempt, e.request, e.deadline-t.config.Now(), e.cancel)
	if err != nil {
		a = failed(e.explain(ctx, err))
		e.parent.losses.add(t.suspects.losses(e.request.fingerprint))
		e.tell(a)
		e.end(outcomeOf(a, ctx))
		return a
	}
	if e.refusedByEndpoint(a.status) {
		a.close()
		a = failed(problem.New(problem.KindEndpointRefused, problem.NotExecuted, "the endpoint refused with status %d", a.status))
		e.tell(a)
		e.end(admission.OutcomeRefused)
		return a
	}
	t.watch.answered()
	e.tell(a)
	return a.onClose(func() { e.end(admission.OutcomeAnswered) })
}

// tell puts into the answer what the call's own calls came to.
func (e *execution) tell(a *answer) {
	a.retries = e.parent.pool.left()
	a.losses = e.parent.losses.list()
	a.doubt = e.parent.doubt()
}

// end gives back everything that the call held.
func (e *execution) end(o admission.Outcome) {
	t := e.traffic
	now := t.config.Now()
	t.parents.remove(e.meta.Attempt)
	e.cancel(errParentEnd)
	t.suspects.leave(e.guard, o == admission.OutcomeAnswered)
	t.gate.leave(e.pass, admission.Result{
		Outcome:        o,
		Duration:       now - e.pass.started,
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
	for _, one := range s.RefusalStatuses {
		if one == status {
			return true
		}
	}
	return false
}

// explain turns a failed exchange with the endpoint into a problem.
func (e *execution) explain(ctx context.Context, err error) *problem.Error {
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		return problem.New(problem.KindUnreachable, problem.NotExecuted, "the endpoint can't be reached: %v", err)
	case errors.Is(context.Cause(ctx), errMakeRoom):
		return problem.New(problem.KindOverloaded, problem.ExecutionUnknown, "the call was cancelled for more important work")
	case errors.Is(context.Cause(ctx), errStalled):
		return problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the endpoint doesn't answer")
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || e.traffic.config.Now() >= e.deadline:
		return problem.New(problem.KindTimeout, problem.ExecutionUnknown, "the endpoint didn't answer in time")
	case ctx.Err() != nil:
		return problem.New(problem.KindCancelled, problem.ExecutionUnknown, "the caller went away")
	case errors.Is(err, io.ErrUnexpectedEOF):
		e.lookForCrash()
		return problem.New(problem.KindAnswerInvalid, problem.ExecutionUnknown, "the endpoint's answer broke off")
	default:
		e.lookForCrash()
		return problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "the connection to the endpoint broke: %v", err)
	}
}

// lookForCrash finds out whether the endpoint broke down and tells the fleet
// which requests may be to blame. The nodes that could run them know of it when
// it returns, so that no resend after the answer is faster than the news.
func (e *execution) lookForCrash() {
	t := e.traffic
	if t.watch.isDraining() || !t.local.down() {
		return
	}
	blamed, told := t.suspects.crashed(e.guard)
	if blamed == nil {
		<-told
		return
	}
	defer close(told)
	for _, fingerprint := range blamed {
		t.config.Log.Emit(event.EndpointCrashed, e.meta.Correlation, event.F("fingerprint", fingerprint))
		t.config.Reports.Send(fleetview.Report{Kind: fleetview.ReportEndpointCrashed, VM: t.config.Settings.VM, Fingerprint: fingerprint})
	}
	t.tellLosses(blamed)
}

func outcomeOf(a *answer, ctx context.Context) admission.Outcome {
	switch {
	case a.problem.Kind == problem.KindUnreachable:
		return admission.OutcomeRefused
	case ctx.Err() != nil:
		return admission.OutcomeCancelled
	default:
		return admission.OutcomeFailed
	}
}

// reply describes the node to the one that sent a call.
func (t *Traffic) reply(m *call.Meta, path string, a *answer) *call.Reply {
	threshold, headroom := t.gate.threshold()
	if below := t.chainThreshold(m.Method, path); below.Before(threshold) {
		threshold = below
		headroom = 0
	}
	r := &call.Reply{
		Attempt:        m.Attempt,
		RetryBudget:    uint16(max(a.retries, 0)),
		ShedThreshold:  threshold,
		Headroom:       uint16(min(headroom, 1<<16-1)),
		Leaving:        t.Leaving(),
		Clock:          t.config.Log.Clock().Tick(),
		Incarnation:    t.config.Incarnation,
		EndpointLosses: a.losses,
		PossibleCrash:  a.doubt,
	}
	if a.problem != nil {
		r.Kind = a.problem.Kind.String()
		r.Ran = a.problem.Execution.String()
		r.Detail = a.problem.Detail
		return r
	}
	r.Status = uint16(a.status)
	r.DeclaredLength = a.declared
	return r
}

func (t *Traffic) chainThreshold(method, path string) priority.Priority {
	v := t.config.View.Load()
	if v.Index == nil {
		return priority.Lowest
	}
	r := v.Index.Route(method, path)
	if r == nil {
		return priority.Lowest
	}
	return t.shedBelow(r.Name)
}

package traffic

import (
	"context"
	"time"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/routing"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/problem"
)

// freeMax bounds the attempts of one call that nothing is charged for.
const freeMax = 8

// outgoing is a call on its way to a service.
type outgoing struct {
	root        call.ID
	priority    priority.Priority
	correlation string
	depth       uint8
	route       *catalogue.Route
	request     *request
	deadline    time.Duration
	pool        *budget
	losses      *losses
	origin      origin
	permit      permit

	tried []string
	free  int
	near  bool              // an attempt in another zone was lost
	worst problem.Execution // the worst fate of any attempt so far
}

// try is the outcome of one attempt.
type try struct {
	answer *answer
	fate   retry.Outcome
	silent bool
	final  bool // no other endpoint would do better
}

// carry brings a call to an endpoint of its service and returns the endpoint's
// answer, or the problem once no further attempt is allowed.
func (t *Traffic) carry(ctx context.Context, o *outgoing) *answer {
	v := t.view()
	s := t.targets.service(o.route.Service)
	var last *answer
	for {
		if !t.mayRun(ctx, o) {
			return o.settle(held(last))
		}
		m, miss := s.pick(t.place(), v.ByService[o.route.Service], o.route.Name, o.priority, o.tried, o.near)
		if m == nil {
			return o.settle(t.missed(miss, last, o))
		}
		one := t.attempt(ctx, s, m, o)
		if one.answer.problem == nil {
			s.succeeded(v.Index.Catalogue().Retry.PercentOfSuccesses)
			return one.answer
		}
		last = one.answer
		o.remember(m.VM, last.problem)
		if one.final || ctx.Err() != nil || !t.again(s, o, &one) {
			return o.settle(last)
		}
		t.config.Metrics.RecordRetry()
		t.config.Log.Emit(event.CallRetried, o.correlation, event.F("vm", m.VM), event.F("kind", last.problem.Kind.String()))
	}
}

func (t *Traffic) place() place {
	s := t.config.Settings
	return place{vm: s.VM, zone: s.AvailabilityZone, region: s.Region}
}

// held returns the problem of a call that may not run once more.
func held(last *answer) *answer {
	if last != nil {
		return last
	}
	return failed(problem.New(problem.KindSuspect, problem.NotExecuted, "an earlier attempt may have broken an endpoint"))
}

// remember notes an attempt that failed.
func (o *outgoing) remember(vm string, e *problem.Error) {
	o.tried = append(o.tried, vm)
	if e.Execution != problem.NotExecuted {
		o.worst = e.Execution
		o.losses.suspectAttempt()
	}
	if o.permit == permitHeld && (e.Execution != problem.NotExecuted || e.Kind == problem.KindEndpointRefused) {
		o.permit = permitSpent
	}
}

// settle makes the final problem tell the fate of all attempts together.
func (o *outgoing) settle(a *answer) *answer {
	if a.problem != nil && a.problem.Execution == problem.NotExecuted && o.worst != problem.NotExecuted {
		a.problem = problem.New(a.problem.Kind, o.worst, "%s", a.problem.Detail)
	}
	return a
}

// missed returns the problem when no endpoint is left to try.
func (t *Traffic) missed(miss routing.PickFailure, last *answer, o *outgoing) *answer {
	switch {
	case miss == routing.PickFailureShedding, last != nil && isShed(last.problem.Kind):
		return failed(problem.New(problem.KindOverloadedEverywhere, problem.NotExecuted, "every endpoint of %s sheds calls of this importance", o.route.Service))
	case last != nil:
		return last
	default:
		return failed(problem.New(problem.KindUnreachable, problem.NotExecuted, "no endpoint of %s is known", o.route.Service))
	}
}

// again decides whether a failed attempt is followed by another one.
func (t *Traffic) again(s *service, o *outgoing, one *try) bool {
	switch step := retry.Next(one.fate, o.route.Idempotent); {
	case step == retry.StepStop:
		return false
	case step == retry.StepRetryFree, one.fate == retry.OutcomeShed && o.mayAskFreely():
		o.free++
		return o.free <= freeMax
	case one.silent:
		return o.pool.spend()
	default:
		return s.mayRetry() && o.pool.spend()
	}
}

// mayAskFreely reports whether a call that a node shed may ask another node
// without a token. No endpoint saw the call. The most important class asks every
// endpoint before it is refused, the others one more.
func (o *outgoing) mayAskFreely() bool {
	return o.priority.Rank() == 0 || o.free == 0
}

// isShed reports whether a call was refused for lack of capacity.
func isShed(k problem.Kind) bool {
	return k == problem.KindOverloaded || k == problem.KindOverloadedEverywhere || k == problem.KindEndpointRefused
}

// attempt sends a call to one endpoint.
func (t *Traffic) attempt(ctx context.Context, s *service, m *fleetview.Member, o *outgoing) try {
	started := t.config.Now()
	remaining := o.deadline - started
	if remaining <= 0 {
		s.done(m.VM, routing.AttemptResult{Outcome: routing.OutcomeCancelled})
		return try{answer: failed(problem.New(problem.KindDeadline, problem.NotExecuted, "no time is left")), final: true}
	}
	handed := o.pool.hand()
	meta := t.meta(o, remaining, handed)
	var one try
	var end routing.AttemptResult
	if m.VM == t.config.Settings.VM {
		one, end = t.attemptHere(ctx, s, meta, o)
	} else {
		one, end = t.attemptThere(ctx, s, m, meta, o)
	}
	if one.fate == retry.OutcomeNotSent {
		one.answer.retries = handed
	}
	o.pool.giveBack(handed, one.answer.retries)
	end.Latency = t.config.Now() - started
	s.done(m.VM, end)
	return one
}

func (t *Traffic) meta(o *outgoing, remaining time.Duration, handed int) *call.Meta {
	return &call.Meta{
		Attempt:           newID(),
		Root:              o.root,
		Priority:          o.priority,
		RemainingMs:       uint32(max(remaining.Milliseconds(), 1)),
		RetryBudget:       uint16(handed),
		Method:            o.request.method,
		Fingerprint:       o.request.fingerprint,
		Depth:             o.depth,
		Clock:             t.config.Log.Clock().Tick(),
		Correlation:       o.correlation,
		Service:           o.route.Service,
		EndpointLosses:    t.lossesFor(o),
		PossibleCrash:     o.losses.inDoubt(),
		Origin:            o.origin.vm,
		OriginIncarnation: o.origin.incarnation,
	}
}

// lossesFor returns the endpoints lost to calls of the root request, those that
// this node knows of from elsewhere included.
func (t *Traffic) lossesFor(o *outgoing) []call.EndpointLoss {
	o.losses.add(t.suspects.losses(o.request.fingerprint))
	return o.losses.list()
}

// attemptHere runs a call at the local endpoint without leaving the process.
func (t *Traffic) attemptHere(ctx context.Context, s *service, meta *call.Meta, o *outgoing) (try, routing.AttemptResult) {
	ctx, cancel := context.WithTimeout(ctx, meta.Remaining())
	a := t.serveLocal(ctx, meta, o.request)
	a.onClose(cancel)
	reply := t.reply(meta, o.request.path, a)
	return t.judge(s, t.config.Settings.VM, o, a, reply)
}

// attemptThere sends a call to another node.
func (t *Traffic) attemptThere(ctx context.Context, s *service, m *fleetview.Member, meta *call.Meta, o *outgoing) (try, routing.AttemptResult) {
	known := s.incarnation(m.VM)
	if known == 0 {
		known = m.Incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, meta.Remaining())
	a, reply, err := t.peers.send(ctx, m.PeerAddress, meta, o.request)
	if err != nil {
		one, end := t.lost(ctx, m, err)
		o.near = o.near || m.AvailabilityZone != t.config.Settings.AvailabilityZone
		if one.fate == retry.OutcomeUnknown && !o.route.Idempotent {
			one = t.resume(ctx, m, meta, o, known, one)
		}
		cancel()
		return one, end
	}
	a.onClose(cancel)
	t.config.Log.Clock().Observe(reply.Clock)
	return t.judge(s, m.VM, o, a, reply)
}

// judge learns from the answer of a node.
func (t *Traffic) judge(s *service, vm string, o *outgoing, a *answer, reply *call.Reply) (try, routing.AttemptResult) {
	s.report(vm, o.route.Name, reply)
	t.hear(o, reply)
	end := routing.AttemptResult{Outcome: routing.OutcomeAnswered, Headroom: int(reply.Headroom), Refused: a.problem != nil}
	if a.problem == nil {
		return try{answer: a}, end
	}
	end.Outcome = outcomeFor(a.problem.Kind)
	return try{answer: a, fate: fateOf(a.problem), final: isFinal(a.problem.Kind)}, end
}

// hear takes in what an answer tells of lost endpoints.
func (t *Traffic) hear(o *outgoing, reply *call.Reply) {
	for _, loss := range reply.EndpointLosses {
		t.suspects.lost(loss)
		o.losses.add(loss)
	}
	if reply.PossibleCrash {
		o.losses.suspectAttempt()
	}
}

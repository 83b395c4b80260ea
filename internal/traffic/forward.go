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

// freeAttemptsMax bounds the attempts of one call that spend no retry budget.
const freeAttemptsMax = 8

// outgoing is a call to a service, with the state of its attempts.
type outgoing struct {
	root        call.ID
	priority    priority.Priority
	correlation string
	depth       uint8
	route       *catalogue.Route
	request     *request
	deadline    time.Duration
	retryBudget *sharedBudget
	losses      *losses
	origin      origin
	grantState  grantState

	tried          []string
	freeAttempts   int
	preferSameZone bool              // an attempt in another availability zone failed without an answer
	lastExecution  problem.Execution // the state of the latest attempt that may have run
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer           *answer
	outcome          retry.Outcome
	connectionSilent bool
	final            bool // no other endpoint would give a better result
}

// forward sends a call to an endpoint of its service, retrying as allowed, and
// returns the endpoint's answer or the last problem.
func (t *Traffic) forward(ctx context.Context, o *outgoing) *answer {
	v := t.view()
	s := t.targets.serviceTargets(o.route.Service)
	var last *answer
	for {
		if !t.mayRun(ctx, o) {
			return o.withLastExecution(notGrantedAnswer(last))
		}
		m, failure := s.pick(t.location(), v.ByService[o.route.Service], o.route.Name, o.priority, o.tried, o.preferSameZone)
		if m == nil {
			return o.withLastExecution(t.pickFailureAnswer(failure, last, o))
		}
		result := t.attempt(ctx, s, m, o)
		if result.answer.problem == nil {
			s.recordSuccess(v.Index.Catalogue().Retry.PercentOfSuccesses)
			return result.answer
		}
		last = result.answer
		o.recordFailure(m.VM, last.problem)
		if result.final || ctx.Err() != nil || !t.shouldRetry(s, o, &result) {
			return o.withLastExecution(last)
		}
		t.config.Metrics.RecordRetry()
		t.config.Log.Emit(event.CallRetried, o.correlation, event.F("vm", m.VM), event.F("kind", last.problem.Kind.String()))
	}
}

func (t *Traffic) location() location {
	s := t.config.Settings
	return location{vm: s.VM, zone: s.AvailabilityZone, region: s.Region}
}

// notGrantedAnswer returns the problem of a call whose next attempt was not
// granted.
func notGrantedAnswer(last *answer) *answer {
	if last != nil {
		return last
	}
	return problemAnswer(problem.New(problem.KindSuspect, problem.NotExecuted, "an earlier attempt may have broken an endpoint"))
}

// recordFailure updates the state of the call after a failed attempt.
func (o *outgoing) recordFailure(vm string, e *problem.Error) {
	o.tried = append(o.tried, vm)
	if e.Execution != problem.NotExecuted {
		o.lastExecution = e.Execution
		o.losses.recordPossibleCrash()
	}
	if o.grantState == grantHeld && (e.Execution != problem.NotExecuted || e.Kind == problem.KindEndpointRefused) {
		o.grantState = grantSpent
	}
}

// withLastExecution reports the state of the latest attempt that may have run in
// the final problem.
func (o *outgoing) withLastExecution(a *answer) *answer {
	if a.problem != nil && a.problem.Execution == problem.NotExecuted && o.lastExecution != problem.NotExecuted {
		a.problem = problem.New(a.problem.Kind, o.lastExecution, "%s", a.problem.Detail)
	}
	return a
}

// pickFailureAnswer returns the problem when no endpoint could be picked.
func (t *Traffic) pickFailureAnswer(failure routing.PickFailure, last *answer, o *outgoing) *answer {
	switch {
	case failure == routing.PickFailureShedding, last != nil && isShed(last.problem.Kind):
		return problemAnswer(problem.New(problem.KindOverloadedEverywhere, problem.NotExecuted, "every endpoint of %s sheds calls of this importance", o.route.Service))
	case last != nil:
		return last
	default:
		return problemAnswer(problem.New(problem.KindUnreachable, problem.NotExecuted, "no endpoint of %s is known", o.route.Service))
	}
}

// shouldRetry reports whether a failed attempt is retried and charges the retry.
func (t *Traffic) shouldRetry(s *serviceTargets, o *outgoing, result *attemptResult) bool {
	switch step := retry.Next(result.outcome, o.route.Idempotent); {
	case step == retry.StepStop:
		return false
	case step == retry.StepRetryFree, result.outcome == retry.OutcomeShed && o.allowsFreeRetry():
		o.freeAttempts++
		return o.freeAttempts <= freeAttemptsMax
	case result.connectionSilent:
		return o.retryBudget.spend()
	default:
		return s.spendRetry() && o.retryBudget.spend()
	}
}

// allowsFreeRetry reports whether a shed call may be retried on another node
// without a charge. Shed calls cost no endpoint any work. The highest class
// tries every endpoint before it is refused, the others one more.
func (o *outgoing) allowsFreeRetry() bool {
	return o.priority.Rank() == 0 || o.freeAttempts == 0
}

// isShed reports whether a call was refused for lack of capacity.
func isShed(k problem.Kind) bool {
	return k == problem.KindOverloaded || k == problem.KindOverloadedEverywhere || k == problem.KindEndpointRefused
}

// attempt sends a call to one endpoint.
func (t *Traffic) attempt(ctx context.Context, s *serviceTargets, m *fleetview.Member, o *outgoing) attemptResult {
	started := t.config.Now()
	remaining := o.deadline - started
	if remaining <= 0 {
		s.finishAttempt(m.VM, routing.AttemptResult{Outcome: routing.OutcomeCancelled})
		return attemptResult{answer: problemAnswer(problem.New(problem.KindDeadline, problem.NotExecuted, "no time is left")), final: true}
	}
	budgetShare := o.retryBudget.split()
	meta := t.meta(o, remaining, budgetShare)
	var result attemptResult
	var end routing.AttemptResult
	if m.VM == t.config.Settings.VM {
		result, end = t.attemptLocal(ctx, s, meta, o)
	} else {
		result, end = t.attemptRemote(ctx, s, m, meta, o)
	}
	if result.outcome == retry.OutcomeNotSent {
		result.answer.unspentRetries = budgetShare
	}
	o.retryBudget.reclaim(budgetShare, result.answer.unspentRetries)
	end.Latency = t.config.Now() - started
	s.finishAttempt(m.VM, end)
	return result
}

// meta returns the metadata of one attempt.
func (t *Traffic) meta(o *outgoing, remaining time.Duration, budgetShare int) *call.Meta {
	return &call.Meta{
		Attempt:           newID(),
		Root:              o.root,
		Priority:          o.priority,
		RemainingMs:       uint32(max(remaining.Milliseconds(), 1)),
		RetryBudget:       uint16(budgetShare),
		Method:            o.request.method,
		Fingerprint:       o.request.fingerprint,
		Depth:             o.depth,
		Clock:             t.config.Log.Clock().Tick(),
		Correlation:       o.correlation,
		Service:           o.route.Service,
		EndpointLosses:    t.lossesFor(o),
		PossibleCrash:     o.losses.hasPossibleCrash(),
		Origin:            o.origin.vm,
		OriginIncarnation: o.origin.incarnation,
	}
}

// lossesFor returns the endpoint losses caused by calls of the root request,
// including those that this node learned of from other nodes.
func (t *Traffic) lossesFor(o *outgoing) []call.EndpointLoss {
	o.losses.add(t.suspects.losses(o.request.fingerprint))
	return o.losses.list()
}

// attemptLocal runs a call at the local endpoint without leaving the process.
func (t *Traffic) attemptLocal(ctx context.Context, s *serviceTargets, meta *call.Meta, o *outgoing) (attemptResult, routing.AttemptResult) {
	ctx, cancel := context.WithTimeout(ctx, meta.Remaining())
	a := t.serveLocal(ctx, meta, o.request)
	a.onClose(cancel)
	reply := t.reply(meta, o.request.path, a)
	return t.evaluateReply(s, t.config.Settings.VM, o, a, reply)
}

// attemptRemote sends a call to another node.
func (t *Traffic) attemptRemote(ctx context.Context, s *serviceTargets, m *fleetview.Member, meta *call.Meta, o *outgoing) (attemptResult, routing.AttemptResult) {
	knownIncarnation := s.incarnation(m.VM)
	if knownIncarnation == 0 {
		knownIncarnation = m.Incarnation
	}
	ctx, cancel := context.WithTimeout(ctx, meta.Remaining())
	a, reply, err := t.peers.send(ctx, m.PeerAddress, meta, o.request)
	if err != nil {
		result, end := t.exchangeFailure(ctx, m, err)
		o.preferSameZone = o.preferSameZone || m.AvailabilityZone != t.config.Settings.AvailabilityZone
		if result.outcome == retry.OutcomeUnknown && !o.route.Idempotent {
			result = t.queryOutcome(ctx, m, meta, o, knownIncarnation, result)
		}
		cancel()
		return result, end
	}
	a.onClose(cancel)
	t.config.Log.Clock().Observe(reply.Clock)
	return t.evaluateReply(s, m.VM, o, a, reply)
}

// evaluateReply records what a node's reply reports and classifies the answer.
func (t *Traffic) evaluateReply(s *serviceTargets, vm string, o *outgoing, a *answer, reply *call.Reply) (attemptResult, routing.AttemptResult) {
	s.recordReply(vm, o.route.Name, reply)
	t.recordLosses(o, reply)
	end := routing.AttemptResult{Outcome: routing.OutcomeAnswered, Headroom: int(reply.Headroom), Refused: a.problem != nil}
	if a.problem == nil {
		return attemptResult{answer: a}, end
	}
	end.Outcome = endpointOutcome(a.problem.Kind)
	return attemptResult{answer: a, outcome: attemptOutcome(a.problem), final: isFinal(a.problem.Kind)}, end
}

// recordLosses records the endpoint losses that a reply reports.
func (t *Traffic) recordLosses(o *outgoing, reply *call.Reply) {
	for _, loss := range reply.EndpointLosses {
		t.suspects.merge(loss)
		o.losses.add(loss)
	}
	if reply.PossibleCrash {
		o.losses.recordPossibleCrash()
	}
}

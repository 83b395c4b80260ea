package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/placement"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// replySlack is added to a request's deadline while waiting for the reply of the
	// endpoint's node, which applies the same deadline.
	replySlack = 60 * time.Millisecond
	// refusalsMax bounds the endpoints that may refuse one request.
	refusalsMax = 8
)

// sendToEndpoints sends a request to one endpoint after another until one responds or no
// further attempt is allowed.
func (p *routedRequest) sendToEndpoints(ctx context.Context) *message.Response {
	router := p.router
	ctx, cancel := context.WithTimeout(ctx, p.deadline+replySlack-router.config.Now())
	defer cancel()
	router.targets.countCall(p.service, router.config.RetryBudget().Window)
	for range refusalsMax {
		if p.checkWithdrawn() || p.checkQuarantine() {
			break
		}
		member := p.pick()
		if member == nil && p.refusedByEndpoint {
			p.triedInstances, p.refusedByEndpoint = p.triedInstances[:0], false // these endpoints may accept it now
			member = p.pick()
		}
		if member == nil {
			break
		}
		a, again := p.attempt(ctx, member)
		if a != nil {
			return a
		}
		if !again || ctx.Err() != nil || router.config.Now() >= p.deadline {
			break
		}
	}
	return p.failureResponse(ctx)
}

// pick selects the endpoint for the next attempt. Endpoints may have begun to leave since the
// request arrived, so the newest view counts.
func (p *routedRequest) pick() *fleetview.Member {
	members := p.router.config.View.Load().ByService[p.service]
	return p.router.targets.pick(members, p.route.Name, p.timeToTarget(), p.triedInstances)
}

// checkWithdrawn reports whether the stopping node starts no further attempt.
func (p *routedRequest) checkWithdrawn() bool {
	if p.router.withdrawn.Err() == nil {
		return false
	}
	p.recordProblem(problem.KindLeaving, "the node is stopping")
	return true
}

// checkQuarantine reports whether the request is quarantined because endpoints crashed
// while running it.
func (p *routedRequest) checkQuarantine() bool {
	p.quarantine = p.router.suspectTracker.checkQuarantine(p.router.config.Settings.Service, p.request)
	if p.quarantine == 0 {
		return false
	}
	p.recordProblem(problem.KindSuspect, "endpoints that ran this request crashed")
	return true
}

// timeToTarget returns the time left to the route's latency target, or to the deadline
// once the target has passed.
func (p *routedRequest) timeToTarget() time.Duration {
	now := p.router.config.Now()
	if target := p.startedAt + p.route.Target(); now < target {
		return min(target, p.deadline) - now
	}
	return p.deadline - now
}

// failureResponse returns the response to a request that no endpoint has answered.
func (p *routedRequest) failureResponse(ctx context.Context) *message.Response {
	if !p.mayHaveRun && (p.failure == nil || p.failure.Kind == problem.KindUnreachable) {
		p.router.pressures.recordUnreachable(p.route.Name)
	}
	switch {
	case p.lastFailure != nil:
		return p.lastFailure
	case !p.mayHaveRun && p.failure != nil:
		return p.errorResponse(problem.New(p.failure.Kind, problem.NotExecuted, "%s", p.failure.Detail))
	case !p.mayHaveRun:
		return p.errorResponse(problem.New(problem.KindUnreachable, problem.NotExecuted, "no endpoint of service %s is there", p.service))
	case ctx.Err() != nil || p.router.config.Now() >= p.deadline:
		return p.errorResponse(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "no answer of service %s in time", p.service))
	default: // also when an earlier endpoint may have run it and the last one refused
		return p.errorResponse(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "%s", p.failure.Detail))
	}
}

// attempt sends the request to one endpoint. It returns the response for the client, or
// whether another attempt may follow.
func (p *routedRequest) attempt(ctx context.Context, m *fleetview.Member) (a *message.Response, again bool) {
	router := p.router
	p.triedInstances = append(p.triedInstances, m.EndpointInstance)
	started := router.config.Now()
	reply, err := p.send(ctx, m)
	router.config.Metrics.RecordAttempt(m.EndpointInstance, attemptOutcome(reply, err), router.config.Now()-started)
	switch {
	case err != nil:
		return nil, p.recordLostReply(ctx, m, err)
	case reply.Refused != calllink.NotRefused:
		return nil, p.recordRefusal(m, reply)
	}
	router.pressures.record(p.route.Name, m.VM, &reply.Load)
	a = p.endpointResponse(reply)
	if a != nil && a.Header.Get(router.config.Headers.EndpointLeaving) == message.LeavingValue {
		router.targets.recordLeft(m)
	}
	p.answeredByEndpoint = p.answeredByEndpoint || a != nil
	router.targets.recordOutcome(m, p.route.Name, callOutcome{load: &reply.Load, end: callEnd(a)})
	p.mayHaveRun = true
	p.executions++
	if a == nil {
		p.failure = problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "%s", reply.Detail)
		return nil, p.mayRetry(m)
	}
	if a.Status == http.StatusInternalServerError && p.isEndpointFault() && p.mayRetry(m) {
		p.lastFailure = a
		return nil, true
	}
	return a, false
}

// callEnd classifies a call that was run by its response. A 504 of the endpoint itself
// counts as lost, like a missing response.
func callEnd(a *message.Response) placement.Outcome {
	switch {
	case a == nil, a.Status == http.StatusGatewayTimeout:
		return placement.OutcomeLost
	case a.Status >= http.StatusInternalServerError:
		return placement.OutcomeFailed
	default:
		return placement.OutcomeSuccess
	}
}

// attemptOutcome returns the outcome of an attempt for metrics.
func attemptOutcome(reply *calllink.Reply, err error) metrics.Outcome {
	switch {
	case errors.Is(err, calllink.ErrNotSent):
		return metrics.OutcomeRefused
	case err != nil:
		return metrics.OutcomeUnknown
	case reply.Refused != calllink.NotRefused:
		return metrics.OutcomeRefused
	case reply.Status == 0:
		return metrics.OutcomeUnknown
	case reply.Status >= http.StatusInternalServerError:
		return metrics.OutcomeFailed
	default:
		return metrics.OutcomeServed
	}
}

// endpointResponse returns the endpoint's response with the request's ID set.
func (p *routedRequest) endpointResponse(reply *calllink.Reply) *message.Response {
	a := reply.Answer()
	if a != nil && p.requestID != "" {
		a.Header.Set(p.router.config.Headers.RequestID, p.requestID)
	}
	return a
}

// send passes the call to the node of an endpoint, which may be this one.
func (p *routedRequest) send(ctx context.Context, m *fleetview.Member) (*calllink.Reply, error) {
	router := p.router
	call := &calllink.Call{
		Service:       p.service,
		Endpoint:      m.EndpointInstance,
		Route:         p.route.Name,
		CallerService: router.config.Settings.Service,
		Rank:          p.rank,
		Idempotent:    p.route.Idempotent,
		RemainingMs:   uint32(max((p.deadline - router.config.Now()).Milliseconds(), 1)),
		Withdrawn:     router.withdrawn.Done(),
	}
	call.SetRequest(p.request)
	if m.VM == router.config.Settings.VM || m.EndpointAddress == router.config.Settings.EndpointAddress {
		return router.localHandler(ctx, call), nil
	}
	l := router.targets.link(m)
	if losses := router.suspectTracker.losses(call.CallerService, p.request); len(losses) > 0 {
		if err := l.ReportCrashes(ctx, losses); err != nil {
			return nil, errors.Wrap(calllink.ErrNotSent, err.Error()) // the call itself was not sent
		}
	}
	return l.Do(ctx, call)
}

// recordLostReply records a call that got no reply. It reports whether another attempt may
// follow.
func (p *routedRequest) recordLostReply(ctx context.Context, m *fleetview.Member, err error) bool {
	unsent := errors.Is(err, calllink.ErrNotSent)
	abandoned := ctx.Err() != nil && !unsent
	o := callOutcome{}
	if !abandoned && !unsent {
		o.end = placement.OutcomeLost
	}
	p.router.targets.recordOutcome(m, p.route.Name, o)
	if unsent {
		p.recordProblem(problem.KindUnreachable, "VM "+m.VM+" can't be reached")
		return true
	}
	p.mayHaveRun = true
	p.executions++
	p.failure = problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "VM %s: %v", m.VM, err)
	return !abandoned && p.mayRetry(m)
}

// recordRefusal records a reply saying that the call was not run. It reports whether
// another attempt may follow.
func (p *routedRequest) recordRefusal(m *fleetview.Member, reply *calllink.Reply) bool {
	misdirected := reply.Refused == calllink.RefusedMisdirected
	o := callOutcome{load: &reply.Load, unreachable: misdirected || reply.Refused == calllink.RefusedUnreachable}
	breakerOpen := reply.Refused == calllink.RefusedCircuitOpen
	noMemory := reply.Refused == calllink.RefusedNoMemory
	if noMemory {
		o.load = nil // the refusal tells nothing of the endpoint
	}
	if reply.Refused == calllink.RefusedByEndpoint || o.unreachable || breakerOpen {
		o.end = placement.OutcomeFailed
	}
	p.router.targets.recordOutcome(m, p.route.Name, o)
	if !o.unreachable && !breakerOpen && !noMemory {
		p.router.pressures.record(p.route.Name, m.VM, &reply.Load)
	}
	kind := problem.KindOverloaded
	switch reply.Refused {
	case calllink.RefusedLeaving, calllink.RefusedWithdrawn:
		kind = problem.KindLeaving
	case calllink.RefusedUnreachable, calllink.RefusedMisdirected, calllink.RefusedCircuitOpen:
		kind = problem.KindUnreachable
	case calllink.RefusedByEndpoint:
		kind = problem.KindEndpointRefused
	case calllink.RefusedNoMemory:
		kind = problem.KindNoMemory
	case calllink.RefusedQuarantined:
		kind = problem.KindSuspect // the next checkQuarantine stops the request here as well
	}
	p.recordProblem(kind, "VM "+m.VM+": "+reply.Detail)
	if reply.Refused == calllink.RefusedByEndpoint {
		p.refusedByEndpoint = true
		return p.takeRetry(m, false)
	}
	if misdirected {
		return p.takeRetry(m, false) // it reached an endpoint
	}
	return true
}

// recordProblem records why an endpoint did not run the request. Overload takes precedence
// over an unreachable endpoint.
func (p *routedRequest) recordProblem(kind problem.Kind, detail string) {
	if kind == problem.KindUnreachable && p.failure != nil && p.failure.Kind == problem.KindOverloaded {
		return
	}
	p.failure = problem.New(kind, problem.NotExecuted, "%s", detail)
}

// isEndpointFault reports whether a failure is probably caused by the endpoint itself. An
// endpoint that makes calls may fail because of them, and a retry under overload would add
// load.
func (p *routedRequest) isEndpointFault() bool {
	pressures := p.router.pressures
	return !pressures.callsDownstream(p.route.Name) && pressures.pressure(p.route.Name) < 1
}

// mayRetry reports whether a request that may have run may be sent to another endpoint. It
// spends a retry.
func (p *routedRequest) mayRetry(m *fleetview.Member) bool {
	if !p.route.Idempotent || p.route.AttemptsMax > 0 && p.executions >= p.route.AttemptsMax {
		return false
	}
	return p.takeRetry(m, true)
}

// takeRetry takes a retry out of this node's part of the fleet's budget. ran says that the
// previous attempt may have run and made calls.
func (p *routedRequest) takeRetry(m *fleetview.Member, ran bool) bool {
	router := p.router
	fleet := router.config.RetryBudget()
	depth := retry.Depth(0)
	if ran {
		depth = router.pressures.depth(p.route.Name)
	}
	limit := fleet.NodeLimit(router.config.Now(), len(p.view.ByVM), depth)
	if !router.targets.spendRetry(p.service, fleet.Window, limit) {
		return false
	}
	router.config.Metrics.RecordRetry()
	router.config.Log.Emit(event.CallRetried, p.requestID, event.F("route", p.route.Name), event.F("after", m.VM))
	return true
}

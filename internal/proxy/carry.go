package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/placement"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// replySlack is the time past a request's deadline in which the reply of the
	// endpoint's node, which keeps the same deadline, is awaited.
	replySlack = 60 * time.Millisecond
	// refusalsMax bounds the endpoints that may turn one request away.
	refusalsMax = 8
	// repeatShare is the part of the fleet's budget for repeats that is used. The
	// rest stands for what other nodes repeat further up the same chain.
	repeatShare = 0.7
	// deepRatioShare and deepAllowanceShare are the same for requests whose run
	// makes calls of its own, since a repeat repeats all of them.
	deepRatioShare     = 0.1
	deepAllowanceShare = 0.02
)

// carry sends a request to endpoints until one answers or no further attempt is
// allowed.
func (p *passage) carry(ctx context.Context) *message.Response {
	e := p.entrance
	ctx, cancel := context.WithTimeout(ctx, p.deadline+replySlack-e.config.Now())
	defer cancel()
	e.targets.first(p.service, e.config.RetryBudget().Window)
	for range refusalsMax {
		if p.held() {
			break
		}
		member := e.targets.pick(p.view.ByService[p.service], p.route.Name, p.due(), p.tried)
		if member == nil && p.turned {
			p.tried, p.turned = p.tried[:0], false // what was refused once may be taken now
			member = e.targets.pick(p.view.ByService[p.service], p.route.Name, p.due(), nil)
		}
		if member == nil {
			break
		}
		a, again := p.attempt(ctx, member)
		if a != nil {
			return a
		}
		if !again || ctx.Err() != nil || e.config.Now() >= p.deadline {
			break
		}
	}
	return p.giveUp(ctx)
}

// held reports whether the request is held back because endpoints crashed while they
// ran it.
func (p *passage) held() bool {
	p.heldFor = p.entrance.suspects.held(p.request)
	if p.heldFor == 0 {
		return false
	}
	p.unserved(problem.KindSuspect, "endpoints that ran this request crashed")
	return true
}

// due returns the time in which the answer is worth most, or what is left at all once
// that has passed.
func (p *passage) due() time.Duration {
	now := p.entrance.config.Now()
	if target := p.began + p.route.Target(); now < target {
		return min(target, p.deadline) - now
	}
	return p.deadline - now
}

// giveUp answers a request that no endpoint answered.
func (p *passage) giveUp(ctx context.Context) *message.Response {
	if !p.ran && (p.reason == nil || p.reason.Kind == problem.KindUnreachable) {
		p.entrance.pressures.absent(p.route.Name)
	}
	switch {
	case p.last != nil:
		return p.last
	case !p.ran && p.reason != nil:
		return p.refuse(problem.New(p.reason.Kind, problem.NotExecuted, "%s", p.reason.Detail))
	case !p.ran:
		return p.refuse(problem.New(problem.KindUnreachable, problem.NotExecuted, "no endpoint of service %s is there", p.service))
	case ctx.Err() != nil || p.entrance.config.Now() >= p.deadline:
		return p.refuse(problem.New(problem.KindTimeout, problem.ExecutionUnknown, "no answer of service %s in time", p.service))
	default: // also when the last of several endpoints refused
		return p.refuse(problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "%s", p.reason.Detail))
	}
}

// attempt sends the request to one endpoint. It returns the answer for the
// client, or whether another attempt may follow.
func (p *passage) attempt(ctx context.Context, m *fleetview.Member) (a *message.Response, again bool) {
	e := p.entrance
	p.tried = append(p.tried, m.EndpointInstance)
	started := e.config.Now()
	reply, err := p.send(ctx, m)
	e.config.Metrics.RecordAttempt(m.EndpointInstance, outcomeOf(reply, err), e.config.Now()-started)
	switch {
	case err != nil:
		return nil, p.broken(ctx, m, err)
	case reply.Refused != calllink.NotRefused:
		return nil, p.refused(m, reply)
	}
	e.pressures.take(p.route.Name, m.VM, &reply.Load)
	a = p.answerOf(reply)
	p.answered = p.answered || a != nil
	e.targets.done(m, p.route.Name, outcome{load: &reply.Load, end: endOf(a)})
	p.ran = true
	p.sent++
	if a == nil {
		p.reason = problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "%s", reply.Detail)
		return nil, p.mayRepeat(m)
	}
	if a.Status == http.StatusInternalServerError && p.ownFailure() && p.mayRepeat(m) {
		p.last = a
		return nil, true
	}
	return a, false
}

// endOf returns how a call that was run ended, by its answer. An endpoint's own 504 came
// too late as well.
func endOf(a *message.Response) placement.Outcome {
	switch {
	case a == nil, a.Status == http.StatusGatewayTimeout:
		return placement.OutcomeLost
	case a.Status >= http.StatusInternalServerError:
		return placement.OutcomeFailed
	default:
		return placement.OutcomeSuccess
	}
}

// outcomeOf returns the outcome of a call for metrics.
func outcomeOf(reply *calllink.Reply, err error) metrics.Outcome {
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

// answerOf returns the endpoint's answer, under the request's ID.
func (p *passage) answerOf(reply *calllink.Reply) *message.Response {
	a := reply.Answer()
	if a != nil && p.id != "" {
		a.Header.Set(p.entrance.config.Headers.RequestID, p.id)
	}
	return a
}

// send hands the call to the node of an endpoint, which may be this one.
func (p *passage) send(ctx context.Context, m *fleetview.Member) (*calllink.Reply, error) {
	e := p.entrance
	call := &calllink.Call{
		Service:       p.service,
		Endpoint:      m.EndpointInstance,
		Route:         p.route.Name,
		CallerService: e.config.Settings.Service,
		Rank:          p.rank,
		Idempotent:    p.route.Idempotent,
		RemainingMs:   uint32(max((p.deadline - e.config.Now()).Milliseconds(), 1)),
	}
	call.SetRequest(p.request)
	if m.VM == e.config.Settings.VM || m.EndpointAddress == e.config.Settings.EndpointAddress {
		return e.local(ctx, call), nil
	}
	l := e.targets.link(m)
	if losses := e.suspects.losses(p.request); len(losses) > 0 {
		if err := l.ReportCrashes(ctx, losses); err != nil {
			return nil, errors.Wrap(calllink.ErrNotSent, err.Error()) // the call itself never left
		}
	}
	return l.Do(ctx, call)
}

// broken takes in a call without a reply. It reports whether another attempt may
// follow.
func (p *passage) broken(ctx context.Context, m *fleetview.Member, err error) bool {
	unsent := errors.Is(err, calllink.ErrNotSent)
	gone := ctx.Err() != nil && !unsent
	o := outcome{}
	if !gone && !unsent {
		o.end = placement.OutcomeLost
	}
	p.entrance.targets.done(m, p.route.Name, o)
	if unsent {
		p.unserved(problem.KindUnreachable, "VM "+m.VM+" can't be reached")
		return true
	}
	p.ran = true
	p.sent++
	p.reason = problem.New(problem.KindConnectionLost, problem.ExecutionUnknown, "VM %s: %v", m.VM, err)
	return !gone && p.mayRepeat(m)
}

// refused takes in a reply that the call was not run. It reports whether another
// attempt may follow.
func (p *passage) refused(m *fleetview.Member, reply *calllink.Reply) bool {
	o := outcome{load: &reply.Load, unreachable: reply.Refused == calllink.RefusedUnreachable}
	broken := reply.Refused == calllink.RefusedCircuitOpen
	if reply.Refused == calllink.RefusedByEndpoint || o.unreachable || broken {
		o.end = placement.OutcomeFailed
	}
	p.entrance.targets.done(m, p.route.Name, o)
	if !o.unreachable && !broken {
		p.entrance.pressures.take(p.route.Name, m.VM, &reply.Load)
	}
	kind := problem.KindOverloaded
	switch reply.Refused {
	case calllink.RefusedLeaving:
		kind = problem.KindLeaving
	case calllink.RefusedUnreachable, calllink.RefusedCircuitOpen:
		kind = problem.KindUnreachable
	case calllink.RefusedByEndpoint:
		kind = problem.KindEndpointRefused
	case calllink.RefusedQuarantined:
		kind = problem.KindSuspect // the next look finds it held back here too
	}
	p.unserved(kind, "VM "+m.VM+": "+reply.Detail)
	if reply.Refused == calllink.RefusedByEndpoint {
		p.turned = true
		return p.affords(m, false)
	}
	return true
}

// unserved notes why an endpoint did not run the request. Where one is full and others
// are down, the full one is why.
func (p *passage) unserved(kind problem.Kind, detail string) {
	if kind == problem.KindUnreachable && p.reason != nil && p.reason.Kind == problem.KindOverloaded {
		return
	}
	p.reason = problem.New(kind, problem.NotExecuted, "%s", detail)
}

// ownFailure reports whether a failure is the endpoint's own, as far as can be
// told: one that makes calls fails with them, and overload is no reason to repeat.
func (p *passage) ownFailure() bool {
	pressures := p.entrance.pressures
	return !pressures.deep(p.route.Name) && pressures.pressure(p.route.Name) < 1
}

// mayRepeat reports whether a request that may have run goes to another endpoint.
func (p *passage) mayRepeat(m *fleetview.Member) bool {
	if !p.route.Idempotent || p.route.AttemptsMax > 0 && p.sent >= p.route.AttemptsMax {
		return false
	}
	return p.affords(m, true)
}

// affords takes a repeat out of this node's part of the fleet's budget. ran says
// that the attempt before may have run, and made calls.
func (p *passage) affords(m *fleetview.Member, ran bool) bool {
	e := p.entrance
	fleet := e.config.RetryBudget()
	nodes := float64(max(len(p.view.ByVM), 1))
	ratio, allowance := fleet.Ratio*repeatShare, fleet.Allowance*repeatShare/nodes
	if ran && e.pressures.deep(p.route.Name) {
		ratio, allowance = fleet.Ratio*deepRatioShare, fleet.Allowance*deepAllowanceShare/nodes
	}
	if !e.targets.mayRepeat(p.service, fleet.Window, ratio, allowance) {
		return false
	}
	e.config.Metrics.RecordRetry()
	e.config.Log.Emit(event.CallRetried, p.id, event.F("route", p.route.Name), event.F("after", m.VM))
	return true
}

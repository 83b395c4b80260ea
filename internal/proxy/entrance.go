package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

const (
	// comeBackMin and comeBackMax bound the time after which a refused client is
	// asked to come back. It is drawn, so that clients don't return together.
	comeBackMin = 300 * time.Millisecond
	comeBackMax = 1200 * time.Millisecond
	// comeBackShare is the part of its remaining time, one in comeBackShare, for
	// which a client waits at most.
	comeBackShare = 3
)

// entrance is where requests of clients and of the local endpoint begin.
type entrance struct {
	config    Config
	targets   *targets
	pressures *chainPressures
	suspects  *suspects
	callers   callObserver
	local     calllink.Handler
	stopped   func() stopping.Phase
	applied   atomic.Pointer[fleetview.View]
}

// callObserver learns of the local endpoint's own calls.
type callObserver interface {
	called(route string)
}

func newEntrance(c Config, stopped func() stopping.Phase) *entrance {
	e := &entrance{config: c, stopped: stopped, pressures: newChainPressures(c.Now), suspects: newSuspects(c)}
	e.targets = newTargets(c, e.suspects.learn)
	e.suspects.link = e.targets.link
	return e
}

// passage is one request on its way through the entrance.
type passage struct {
	entrance *entrance
	view     *fleetview.View
	request  *message.Request
	id       string
	route    *catalogue.Route
	service  string
	rank     uint8
	deadline time.Duration // when the client gets its answer at the latest
	patience time.Duration // when the client itself gives up
	tried    []string      // runs of endpoints
	ran      bool          // an endpoint may have run the request
	sent     int           // endpoints that may have run it
	turned   bool          // an endpoint refused it, of those in tried
	answered bool          // an endpoint's answer goes to the client
	began    time.Duration
	last     *message.Response
	reason   *problem.Error
	heldFor  time.Duration // the request is held back so long
}

func (e *entrance) serve(ctx context.Context, r *message.Request) (a *message.Response) {
	v := e.config.View.Load()
	p := &passage{entrance: e, view: v, request: r, id: r.Header.Get(e.config.Headers.RequestID), began: e.config.Now()}
	defer e.config.Log.Recover(p.id, func() {
		a = p.refuse(problem.New(problem.KindInternal, problem.ExecutionUnknown, "the node failed"))
	})
	a = p.run(ctx)
	p.record(a)
	return a
}

func (p *passage) run(ctx context.Context) *message.Response {
	e, v, r := p.entrance, p.view, p.request
	if v.Index == nil {
		return p.refuse(problem.New(problem.KindNotReady, problem.NotExecuted, "no configuration is in force yet"))
	}
	p.route = v.Index.RouteByHost(r.Host, r.Path())
	if p.route == nil {
		return p.refuse(problem.New(problem.KindNoRoute, problem.NotExecuted, "no route for %s%s", r.Host, r.Path()))
	}
	if e.stopped() >= stopping.Refusing && !e.pressures.inner(p.route.Name) {
		return p.refuse(problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"))
	}
	p.begin()
	return p.carry(ctx)
}

// record counts the outcome of a request, and tells of a call of the local
// endpoint that another endpoint failed.
func (p *passage) record(a *message.Response) {
	e := p.entrance
	took := e.config.Now() - p.began
	if p.route == nil {
		e.config.Metrics.RecordCall(metrics.RoleCaller, took)
		return
	}
	role := metrics.RoleCaller
	if e.pressures.inner(p.route.Name) {
		role = metrics.RoleOutbound
	}
	outcome := p.outcome(a)
	e.config.Metrics.RecordCall(role, took)
	e.config.Metrics.RecordRequest(p.route.Name, outcome, took)
	if role == metrics.RoleOutbound && outcome == metrics.OutcomeFailed {
		e.config.Log.Emit(event.OutboundCallFailed, p.id, event.F("status", a.Status), event.F("service", p.service))
	}
}

func (p *passage) outcome(a *message.Response) metrics.Outcome {
	switch {
	case p.answered && a.Status < http.StatusInternalServerError:
		return metrics.OutcomeServed
	case p.answered:
		return metrics.OutcomeFailed
	case a.Status == http.StatusServiceUnavailable:
		return metrics.OutcomeRefused
	default:
		return metrics.OutcomeUnknown
	}
}

// begin sets the request's times and its service.
func (p *passage) begin() {
	e := p.entrance
	now := e.config.Now()
	remaining := p.route.Timeout()
	if ms, err := strconv.ParseInt(p.request.Header.Get(e.config.Headers.RemainingMs), 10, 32); err == nil && ms >= 0 {
		remaining = time.Duration(ms) * time.Millisecond
	}
	p.dropHopHeaders()
	p.patience = now + remaining
	p.deadline = now + min(remaining, p.route.Timeout())
	p.service = p.route.ServiceFor(rand.Float64())
	rank, _ := p.view.Index.Rank(p.route.Class) // a configuration in force names its classes
	p.rank = uint8(rank)
	if e.pressures.inner(p.route.Name) {
		e.callers.called(p.route.Name)
	}
}

// dropHopHeaders removes the headers that each endpoint's node sets anew.
func (p *passage) dropHopHeaders() {
	names := p.entrance.config.Headers
	for _, name := range []string{names.RemainingMs, names.CallerService, names.ExpectEndpoint} {
		p.request.Header.Del(name)
	}
}

// refuse answers in place of an endpoint.
func (p *passage) refuse(why *problem.Error) *message.Response {
	e := p.entrance
	e.config.Metrics.RecordRefusal(why.Kind)
	number, route := event.CallRefused, ""
	if p.route != nil {
		route = p.route.Name
		if e.pressures.inner(route) {
			number = event.OutboundCallRefused
		}
	}
	e.config.Log.Emit(number, p.id, event.F("route", route), event.F("kind", why.Kind.String()),
		event.F("ran", why.Execution.String()), event.F("detail", why.Detail), event.F("service", p.service))
	a := message.ErrorResponse(p.status(why), why.Detail)
	if p.id != "" {
		a.Header.Set(e.config.Headers.RequestID, p.id)
	}
	if a.Status == http.StatusServiceUnavailable {
		a.WithRetryAfter(p.comeBack())
	}
	return a
}

// status returns the status of an answer in place of an endpoint: 503 only if
// the request has not run and never will.
func (p *passage) status(why *problem.Error) int {
	switch {
	case why.Kind == problem.KindNoRoute:
		return http.StatusNotFound
	case why.Execution == problem.NotExecuted:
		return http.StatusServiceUnavailable
	case why.Kind == problem.KindTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// comeBack returns the time after which the client may try again: within the
// part of its remaining time for which it waits.
func (p *passage) comeBack() time.Duration {
	if p.heldFor > 0 {
		return p.heldFor // sooner it would be refused again
	}
	wait := comeBackMin + rand.N(comeBackMax-comeBackMin)
	if left := p.patience - p.entrance.config.Now(); p.patience > 0 {
		wait = min(wait, max(left, 0)/comeBackShare)
	}
	return wait
}

// tick looks after links and follows the view.
func (e *entrance) tick() {
	e.targets.watch()
	e.suspects.tick()
	v := e.config.View.Load()
	if e.applied.Swap(v) != v {
		e.config.Metrics.Retain(v.RouteNames(), e.targets.retain(v))
	}
}

func (e *entrance) close() {
	e.targets.close()
}

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
	// retryAfterMin and retryAfterMax bound the delay after which a refused client is
	// asked to retry. It is random, so that clients don't retry at the same moment.
	retryAfterMin = 300 * time.Millisecond
	retryAfterMax = 1200 * time.Millisecond
	// retryAfterDivisor limits the delay to 1/retryAfterDivisor of the client's remaining
	// time.
	retryAfterDivisor = 3
)

// requestRouter handles the requests of clients and of the local endpoint and sends them
// to an endpoint.
type requestRouter struct {
	config         Config
	targets        *targets
	pressures      *chainPressures
	suspectTracker *suspectTracker
	observer       callObserver
	localHandler   calllink.Handler
	parents        *parentDeadlines // of the local endpoint
	stop           func() stopping.Stop
	withdrawn      context.Context // ends when requests that no endpoint has got are taken back
	withdraw       context.CancelFunc
	appliedView    atomic.Pointer[fleetview.View]
}

// callObserver is notified of calls made by the local endpoint.
type callObserver interface {
	observeCall(route string)
}

func newRequestRouter(c Config, stop func() stopping.Stop) *requestRouter {
	router := &requestRouter{config: c, stop: stop, pressures: newChainPressures(c.Now), parents: newParentDeadlines(), suspectTracker: newSuspectTracker(c)}
	router.withdrawn, router.withdraw = context.WithCancel(context.Background())
	router.targets = newTargets(c, router.suspectTracker.merge)
	router.suspectTracker.link = router.targets.link
	return router
}

// routedRequest is one request and the state of its attempts.
type routedRequest struct {
	router             *requestRouter
	view               *fleetview.View
	request            *message.Request
	requestID          string
	route              *catalogue.Route
	service            string
	rank               uint8
	deadline           time.Duration // when the client gets its response at the latest
	clientDeadline     time.Duration // when the client itself gives up
	triedInstances     []string      // instances of endpoints that the request was sent to
	mayHaveRun         bool          // at least one endpoint may have run the request
	executions         int           // number of endpoints that may have executed it
	refusedByEndpoint  bool          // an endpoint of triedInstances refused it
	answeredByEndpoint bool          // the client gets an endpoint's response
	startedAt          time.Duration
	lastFailure        *message.Response
	failure            *problem.Error
	quarantine         time.Duration // remaining quarantine of the request, or 0
}

func (router *requestRouter) handle(ctx context.Context, r *message.Request) (a *message.Response) {
	v := router.config.View.Load()
	p := &routedRequest{router: router, view: v, request: r, requestID: r.Header.Get(router.config.Headers.RequestID), startedAt: router.config.Now()}
	defer router.config.Log.Recover(p.requestID, func() {
		a = p.errorResponse(problem.New(problem.KindInternal, problem.ExecutionUnknown, "the node failed"))
	})
	a = p.process(ctx)
	p.recordOutcome(a)
	return a
}

func (p *routedRequest) process(ctx context.Context) *message.Response {
	router, v, r := p.router, p.view, p.request
	if v.Index == nil {
		return p.errorResponse(problem.New(problem.KindNotReady, problem.NotExecuted, "no configuration is in force yet"))
	}
	p.route = v.Index.RouteByHost(r.Host, r.Path())
	if p.route == nil {
		return p.errorResponse(problem.New(problem.KindNoRoute, problem.NotExecuted, "no route for %s%s", r.Host, r.Path()))
	}
	p.prepare()
	if stop := router.stop(); stop.Phase >= stopping.Refusing && !p.acceptedBy(stop) {
		return p.errorResponse(problem.New(problem.KindLeaving, problem.NotExecuted, "the node is stopping"))
	}
	return p.sendToEndpoints(ctx)
}

// acceptedBy reports whether a stopping node may send the request to an endpoint, and sets by when that has
// to answer.
func (p *routedRequest) acceptedBy(stop stopping.Stop) bool {
	router := p.router
	request := stopping.Request{At: router.config.Now(), Deadline: p.deadline, ExpiresAt: p.clientDeadline}
	admission := stop.Admit(request, router.parents.all())
	if admission.Accepted {
		p.deadline = admission.Deadline
	}
	return admission.Accepted
}

// interrupted returns the response to the request with an ID that the stopping node ends while an
// endpoint may be running it.
func (router *requestRouter) interrupted(id string) *message.Response {
	p := &routedRequest{router: router, requestID: id}
	return p.errorResponse(problem.New(problem.KindLeaving, problem.ExecutionUnknown, "the node has stopped before the answer"))
}

// notRead returns the response to a request that the stopping node has not read whole.
func (router *requestRouter) notRead() *message.Response {
	p := &routedRequest{router: router}
	return p.errorResponse(problem.New(problem.KindLeaving, problem.NotExecuted, "the node has stopped before it read the request"))
}

// noMemory returns the response to a request that was not read whole for lack of memory.
func (router *requestRouter) noMemory() *message.Response {
	p := &routedRequest{router: router}
	return p.errorResponse(problem.New(problem.KindNoMemory, problem.NotExecuted, "the node has no memory to hold the request"))
}

// recordOutcome updates the metrics of a finished request and logs a call of the local
// endpoint that another endpoint failed.
func (p *routedRequest) recordOutcome(a *message.Response) {
	router := p.router
	took := router.config.Now() - p.startedAt
	if p.route == nil {
		router.config.Metrics.RecordCall(metrics.RoleCaller, took)
		return
	}
	role := metrics.RoleCaller
	if router.pressures.isInternal(p.route.Name) {
		role = metrics.RoleOutbound
	}
	outcome := p.outcome(a)
	router.config.Metrics.RecordCall(role, took)
	router.config.Metrics.RecordRequest(p.route.Name, outcome, took)
	if role == metrics.RoleOutbound && outcome == metrics.OutcomeFailed {
		router.config.Log.Emit(event.OutboundCallFailed, p.requestID, event.F("status", a.Status), event.F("service", p.service))
	}
}

func (p *routedRequest) outcome(a *message.Response) metrics.Outcome {
	switch {
	case p.answeredByEndpoint && a.Status < http.StatusInternalServerError:
		return metrics.OutcomeServed
	case p.answeredByEndpoint:
		return metrics.OutcomeFailed
	case a.Status == http.StatusServiceUnavailable:
		return metrics.OutcomeRefused
	default:
		return metrics.OutcomeUnknown
	}
}

// prepare sets the request's deadlines, service and rank.
func (p *routedRequest) prepare() {
	router := p.router
	now := router.config.Now()
	remaining := p.route.Timeout()
	if ms, err := strconv.ParseInt(p.request.Header.Get(router.config.Headers.RemainingMs), 10, 32); err == nil && ms >= 0 {
		remaining = time.Duration(ms) * time.Millisecond
	}
	p.dropPerHopHeaders()
	p.clientDeadline = now + remaining
	p.deadline = now + min(remaining, p.route.Timeout())
	p.service = p.route.ServiceFor(rand.Float64())
	rank, _ := p.view.Index.Rank(p.route.Class) // validated configurations name only known classes
	p.rank = uint8(rank)
	if router.pressures.isInternal(p.route.Name) {
		router.observer.observeCall(p.route.Name)
	}
}

// dropPerHopHeaders removes the headers that the node of the endpoint sets itself.
func (p *routedRequest) dropPerHopHeaders() {
	names := p.router.config.Headers
	for _, name := range []string{names.RemainingMs, names.CallerService, names.ExpectEndpoint} {
		p.request.Header.Del(name)
	}
}

// errorResponse returns a response generated by this node, and logs and counts it.
func (p *routedRequest) errorResponse(why *problem.Error) *message.Response {
	router := p.router
	router.config.Metrics.RecordRefusal(why.Kind)
	number, route := event.CallRefused, ""
	if p.route != nil {
		route = p.route.Name
		if router.pressures.isInternal(route) {
			number = event.OutboundCallRefused
		}
	}
	router.config.Log.Emit(number, p.requestID, event.F("route", route), event.F("kind", why.Kind.String()),
		event.F("ran", why.Execution.String()), event.F("detail", why.Detail), event.F("service", p.service))
	a := message.ErrorResponse(p.errorStatus(why), why.Detail)
	if p.requestID != "" {
		a.Header.Set(router.config.Headers.RequestID, p.requestID)
	}
	if a.Status == http.StatusServiceUnavailable {
		a.WithRetryAfter(p.retryAfter())
	}
	return a
}

// errorStatus returns the HTTP status for a problem. 503 promises that the request has not
// run and never will.
func (p *routedRequest) errorStatus(why *problem.Error) int {
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

// retryAfter returns the delay after which the client may retry, limited by its remaining
// time. A stopping node refuses it until the end of the stop.
func (p *routedRequest) retryAfter() time.Duration {
	if p.quarantine > 0 {
		return p.quarantine // an earlier retry would be refused again
	}
	wait := retryAfterMin + rand.N(retryAfterMax-retryAfterMin)
	if stop := p.router.stop(); stop.Phase >= stopping.Refusing {
		wait += max(stop.EndsAt-p.router.config.Now(), 0)
	}
	if left := p.clientDeadline - p.router.config.Now(); p.clientDeadline > 0 {
		wait = min(wait, max(left, 0)/retryAfterDivisor)
	}
	return wait
}

// tick maintains links and suspects and applies a new view.
func (router *requestRouter) tick() {
	router.targets.checkLinks()
	router.suspectTracker.tick()
	v := router.config.View.Load()
	if router.appliedView.Swap(v) != v {
		router.config.Metrics.Retain(v.RouteNames(), router.targets.retain(v))
	}
}

func (router *requestRouter) close() {
	router.targets.close()
}

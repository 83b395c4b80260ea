package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/breaker"
	"github.com/galenacart/galenacart/decision/callgraph"
	"github.com/galenacart/galenacart/decision/draining"
	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/decision/retry"
	"github.com/galenacart/galenacart/decision/slotqueue"
	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/metrics"
)

const (
	// defaultSlots is the number of slots of the local endpoint until the platform
	// publishes it.
	defaultSlots = 16
	// ownAnswerTime is the time after a call's deadline in which the answer of the endpoint is still awaited:
	// one that gives up at the deadline says so itself, and was then not interrupted. It is shorter than
	// replySlack, so that the answer reaches the sender of the call.
	ownAnswerTime = 30 * time.Millisecond
)

var errDeadline = errors.New("no answer of the endpoint in time")

// endpointServer runs calls at the local endpoint, within its slots.
type endpointServer struct {
	config         Config
	pool           *endpointlink.Pool
	crashDetector  *crashDetector
	suspectTracker *suspectTracker
	pressures      *chainPressures
	callOrigins    *callOrigins
	stop           func() stopping.Stop
	parents        *parentDeadlines

	mu                 sync.Mutex
	gate               *slotqueue.Queue
	breaker            breaker.Breaker
	pressure           pressure.LoadAverage
	refusals           pressure.RefusalRate
	graph              *callgraph.Graph
	durationEstimators map[string]*slotqueue.DurationEstimator // duration of a call, by route
	nextID             uint64
	waiting            map[uint64]chan slotqueue.Decision
	releases           []slotqueue.Dequeued
	windows            map[string]*routeWindow // by route
	appliedView        *fleetview.View
	listed             endpointRun     // the last one that the platform has listed
	window             draining.Window // of the listed run
	leaving            endpointRun     // has said so in an answer
}

func newEndpointServer(c Config, pool *endpointlink.Pool, router *requestRouter, stop func() stopping.Stop) *endpointServer {
	s := &endpointServer{
		config:             c,
		pool:               pool,
		crashDetector:      newCrashDetector(c.Now, pool.Unreachable),
		suspectTracker:     router.suspectTracker,
		pressures:          router.pressures,
		callOrigins:        newCallOrigins(),
		stop:               stop,
		parents:            router.parents,
		gate:               slotqueue.New(defaultSlots),
		graph:              callgraph.New(),
		durationEstimators: make(map[string]*slotqueue.DurationEstimator),
		waiting:            make(map[uint64]chan slotqueue.Decision),
		windows:            make(map[string]*routeWindow),
	}
	s.gate.AwaitFirstAnswer()
	router.observer = s
	return s
}

// observeCall records a call made by the local endpoint.
func (s *endpointServer) observeCall(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graph.RecordCall(route)
}

// applyView updates slots, drain state and routes when the view has changed.
func (s *endpointServer) applyView() {
	v := s.config.View.Load()
	if s.appliedView == v {
		return
	}
	s.appliedView = v
	s.forgetRoutes(v)
	m := s.ownMember(v)
	if m != nil {
		s.gate.SetSlots(m.Slots)
	}
	s.observeListed(m, v.ChangedSince)
	s.returnWaiting()
}

// ownMember returns the member of a view that the local endpoint is, or nil.
func (s *endpointServer) ownMember(v *fleetview.View) *fleetview.Member {
	for _, m := range v.ByService[s.config.Settings.Service] {
		if m.EndpointAddress == s.config.Settings.EndpointAddress {
			return m
		}
	}
	return nil
}

// handle runs a call of this or another node. A call that is not idempotent continues when
// its sender gives up, since it may already have had an effect.
func (s *endpointServer) handle(ctx context.Context, call *calllink.Call) (reply *calllink.Reply) {
	defer s.config.Log.Recover("", func() { reply = &calllink.Reply{Detail: "the endpoint's node failed"} })
	started := s.config.Now()
	internal := s.callOrigins.record(call.Route, call.CallerService, s.config.View.Load())
	reply = s.admitAndRun(ctx, call, internal)
	s.config.Metrics.RecordCall(metrics.RolePeer, s.config.Now()-started)
	s.addLoad(call, internal, reply)
	if s.suspectTracker.nonEmpty.Load() {
		reply.Crashes = s.suspectTracker.losses(call.CallerService, call.Request())
	}
	return reply
}

// admits reports whether a call may start now, as far as its endpoint may be leaving.
func (s *endpointServer) admits(call *calllink.Call, deadline time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView()
	now, w := s.config.Now(), s.callWindow(call.Endpoint)
	return w.Admits(now, w.Duration(s.typicalDuration(call.Route), deadline-now))
}

// isStopping reports whether the node's planned stop has reached the phase in which it
// accepts no new calls.
func (s *endpointServer) isStopping() bool {
	return s.stop().Phase >= stopping.Draining
}

// admitAndRun runs a call, or refuses it if the node can't accept it or its chain is
// overloaded. Internal calls belong to requests that were already admitted, so they bypass
// the admission window.
func (s *endpointServer) admitAndRun(ctx context.Context, call *calllink.Call, internal bool) *calllink.Reply {
	if call.Service != s.config.Settings.Service {
		return refusalReply(calllink.RefusedUnreachable, "the VM serves "+s.config.Settings.Service)
	}
	if s.isStopping() {
		return refusalReply(calllink.RefusedLeaving, "the node is stopping")
	}
	deadline := s.config.Now() + time.Duration(call.RemainingMs)*time.Millisecond
	if !s.admits(call, deadline) {
		return refusalReply(calllink.RefusedLeaving, "the endpoint or its node leaves before the call would end")
	}
	if internal {
		return s.runInSlot(ctx, call, deadline)
	}
	w := s.enterWindow(call.Route, call.Rank)
	if w == nil {
		return refusalReply(calllink.RefusedOverloaded, "the chain of route "+call.Route+" is overloaded")
	}
	defer s.leaveWindow(w)
	return s.runInSlot(ctx, call, deadline)
}

func (s *endpointServer) runInSlot(ctx context.Context, call *calllink.Call, deadline time.Duration) *calllink.Reply {
	if refusal := s.acquireSlot(ctx, call, deadline); refusal != nil {
		return refusal
	}
	end := finishedCall{route: call.Route, startedAt: s.config.Now(), deadline: deadline}
	defer func() { s.recordEnd(end) }()
	s.recordStart(call.Route)
	reply, completed := s.exchange(ctx, call, deadline)
	end.completed, end.refused = completed, reply.Refused == calllink.RefusedByEndpoint
	return reply
}

func refusalReply(why calllink.Refusal, detail string) *calllink.Reply {
	return &calllink.Reply{Refused: why, Detail: detail}
}

// exchange sends a call to the endpoint. completed reports whether it completed
// successfully.
func (s *endpointServer) exchange(ctx context.Context, call *calllink.Call, deadline time.Duration) (reply *calllink.Reply, completed bool) {
	request := call.Request()
	s.suspectTracker.awaitLearned(ctx)
	if refusal := s.refuseStart(call, request, deadline); refusal != nil {
		return refusal, false
	}
	lossKnown := s.suspectTracker.isSuspect(call.CallerService, request)
	remaining := deadline - s.config.Now()
	if !call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining+ownAnswerTime, errDeadline)
	defer cancel()
	defer s.parents.add(deadline)()
	response, outcome, err := s.pool.Do(ctx, &endpointlink.Call{
		Request:       request,
		Endpoint:      call.Endpoint,
		CallerService: call.CallerService,
		Remaining:     remaining,
		Idempotent:    call.Idempotent,
		OnNotice:      func(n endpointlink.Notice) { s.recordNotice(call.Endpoint, n) },
	})
	s.observeExchange(outcome, err, ctx.Err() != nil)
	switch {
	case outcome == endpointlink.Answered:
		if response.Status >= http.StatusInternalServerError {
			s.config.Log.Emit(event.EndpointFailed, response.Header.Get(s.config.Headers.RequestID), event.F("route", call.Route),
				event.F("status", response.Status), event.F("took", s.config.Now()-deadline+remaining))
		}
		response.Header.Del(s.config.Headers.RequestID) // the calling node sets it
		if response.Status < http.StatusInternalServerError {
			s.suspectTracker.recordSuccess(call.CallerService, request)
		}
		reply = &calllink.Reply{}
		reply.SetAnswer(response)
		return reply, response.Status < 300
	case outcome == endpointlink.NotRun && response == nil && errors.Is(err, endpointlink.ErrRefused):
		return refusalReply(calllink.RefusedByEndpoint, err.Error()), false
	case errors.Is(err, endpointlink.ErrMisdirected):
		return refusalReply(calllink.RefusedMisdirected, err.Error()), false
	case outcome == endpointlink.NotRun:
		if endpointlink.IsConnectionRefused(err) {
			s.handleCrash(s.crashDetector.connectionRefused())
		}
		return refusalReply(calllink.RefusedUnreachable, err.Error()), false
	case ctx.Err() != nil:
		s.crashDetector.recordAbandoned(s.identify(call, request, deadline, lossKnown))
		return &calllink.Reply{Detail: context.Cause(ctx).Error()}, false
	default:
		s.logInvalidResponse(request, err)
		crash, endpointCrashed := s.crashDetector.connectionBroken()
		if endpointCrashed {
			s.suspectTracker.recordCrash(s.identify(call, request, deadline, lossKnown), crash)
		}
		s.handleCrash(crash, endpointCrashed)
		return &calllink.Reply{Detail: err.Error()}, false
	}
}

// identify returns what is kept of a request that the endpoint may be running.
func (s *endpointServer) identify(call *calllink.Call, r *message.Request, runsUntil time.Duration, lossKnown bool) startedRequest {
	return startedRequest{
		requestID: r.Header.Get(s.config.Headers.RequestID), fingerprint: fingerprint(call.CallerService, r), route: call.Route,
		runsUntil: runsUntil, lossKnown: lossKnown,
	}
}

// refuseStart returns the refusal of a call that must not be handed to the endpoint now, or nil.
// What held when the call was admitted may have changed while it waited.
func (s *endpointServer) refuseStart(call *calllink.Call, request *message.Request, deadline time.Duration) *calllink.Reply {
	switch {
	case call.IsWithdrawn():
		return refusalReply(calllink.RefusedWithdrawn, "the call was taken back")
	case !s.admits(call, deadline):
		return refusalReply(calllink.RefusedLeaving, "the endpoint is leaving")
	case s.suspectTracker.checkQuarantine(call.CallerService, request) > 0:
		s.config.Log.Emit(event.SuspectRefused, request.Header.Get(s.config.Headers.RequestID), event.F("fingerprint", fingerprint(call.CallerService, request)))
		return refusalReply(calllink.RefusedQuarantined, "endpoints that ran this request crashed")
	case !s.breakerAdmits(call):
		return refusalReply(calllink.RefusedCircuitOpen, "the endpoint breaks off all calls")
	default:
		return nil
	}
}

// addLoad adds this node's load to a reply.
func (s *endpointServer) addLoad(call *calllink.Call, internal bool, reply *calllink.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Load = calllink.Load{
		Outstanding:      s.gate.Busy(),
		Limit:            s.gate.Capacity(),
		PressurePermille: int(s.chainPressure(call.Route) * perMille),
		RefusalPermille:  int(s.refusals.Share() * perMille),
		InternalOnly:     internal,
		CallsDownstream:  len(s.graph.Callees(call.Route)) > 0,
		Depth:            s.depth(call.Route),
		TypicalMs:        int(s.estimatedDuration(call.Route).Milliseconds()),
		Leaving:          s.windowOf(call.Endpoint).IsClosing() || s.isStopping(),
	}
}

// depth returns the number of levels of calls below a route.
func (s *endpointServer) depth(route string) retry.Depth {
	if !s.graph.Learned() {
		return retry.DepthUnknown
	}
	depth := retry.Depth(0)
	for _, callee := range s.graph.Callees(route) {
		depth = max(depth, s.pressures.depth(callee).Above())
	}
	return depth
}

// tick applies a new view and adapts the admission windows.
func (s *endpointServer) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyView()
	s.graph.Tick(s.config.Now())
	s.returnWaiting()
	s.resumeWaiting(s.gate.Dispatch(s.config.Now(), s.releases[:0]))
	s.adaptWindows()
}

func (s *endpointServer) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Busy()
}

func (s *endpointServer) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Running:  s.gate.Running(),
		Queued:   s.gate.Busy() - s.gate.Running(),
		Limit:    s.gate.Limit(),
		Pressure: s.pressure.Pressure(s.config.Now()),
	}
}

func (s *endpointServer) close() {
	s.pool.Close()
}

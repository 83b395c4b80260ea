package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/breaker"
	"github.com/galenacart/galenacart/decision/callgraph"
	"github.com/galenacart/galenacart/decision/pressure"
	"github.com/galenacart/galenacart/decision/slotqueue"
	"github.com/galenacart/galenacart/decision/stopping"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/endpointlink"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
)

const (
	// slotsBefore is taken for the slots of the local endpoint until the platform
	// publishes them.
	slotsBefore = 16
)

var errDeadline = errors.New("no answer of the endpoint in time")

// endpointServer runs calls at the local endpoint, within its slots.
type endpointServer struct {
	config    Config
	pool      *endpointlink.Pool
	crashes   *crashes
	suspects  *suspects
	pressures *chainPressures
	origins   *origins
	stopped   func() stopping.Phase

	mu       sync.Mutex
	gate     *slotqueue.Queue
	breaker  breaker.Breaker
	pressure pressure.LoadAverage
	refusals pressure.RefusalRate
	graph    *callgraph.Graph
	usual    map[string]*slotqueue.DurationEstimator // time of a call, by route
	nextID   uint64
	waiting  map[uint64]chan slotqueue.Decision
	releases []slotqueue.Dequeued
	windows  map[string]*routeWindow // by route
	applied  *fleetview.View
	draining bool // the platform says that the endpoint leaves
}

func newEndpointServer(c Config, pool *endpointlink.Pool, e *entrance, stopped func() stopping.Phase) *endpointServer {
	s := &endpointServer{
		config:    c,
		pool:      pool,
		crashes:   newCrashes(c.Now, pool.Unreachable),
		suspects:  e.suspects,
		pressures: e.pressures,
		origins:   newOrigins(),
		stopped:   stopped,
		gate:      slotqueue.New(slotsBefore),
		graph:     callgraph.New(),
		usual:     make(map[string]*slotqueue.DurationEstimator),
		waiting:   make(map[uint64]chan slotqueue.Decision),
		windows:   make(map[string]*routeWindow),
	}
	e.callers = s
	return s
}

// called takes in a call that the local endpoint made.
func (s *endpointServer) called(route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graph.RecordCall(route)
}

// follow takes the endpoint's slots from the view.
func (s *endpointServer) follow() {
	v := s.config.View.Load()
	if s.applied == v {
		return
	}
	s.applied = v
	s.forgetRoutes(v)
	for _, m := range v.ByService[s.config.Settings.Service] {
		if m.EndpointAddress == s.config.Settings.EndpointAddress {
			s.gate.SetSlots(m.Slots)
			s.draining = m.Leaving
		}
	}
}

// handle runs a call of this or another node. A call that must not run twice
// goes on after its sender has given it up: it may be a booking that holds.
func (s *endpointServer) handle(ctx context.Context, call *calllink.Call) (reply *calllink.Reply) {
	defer s.config.Log.Recover("", func() { reply = &calllink.Reply{Detail: "the endpoint's node failed"} })
	started := s.config.Now()
	inner := s.origins.take(call.Route, call.CallerService, s.config.View.Load())
	reply = s.admit(ctx, call, inner)
	s.config.Metrics.RecordCall(metrics.RolePeer, s.config.Now()-started)
	s.describe(call, inner, reply)
	if s.suspects.nonEmpty.Load() {
		reply.Crashes = s.suspects.losses(call.Request())
	}
	return reply
}

// leaving reports whether the local endpoint takes no new work from this node.
func (s *endpointServer) leaving() bool {
	return s.stopped() >= stopping.Draining
}

// admit refuses a call that the node can't take, or whose chain is overloaded.
// Calls of endpoints belong to requests that were begun and have no window.
func (s *endpointServer) admit(ctx context.Context, call *calllink.Call, inner bool) *calllink.Reply {
	if call.Service != s.config.Settings.Service {
		return refusal(calllink.RefusedUnreachable, "the VM serves "+s.config.Settings.Service)
	}
	if s.leaving() {
		return refusal(calllink.RefusedLeaving, "the node is stopping")
	}
	if inner {
		return s.run(ctx, call)
	}
	w := s.window(call.Route, call.Rank)
	if w == nil {
		return refusal(calllink.RefusedOverloaded, "the chain of route "+call.Route+" is overloaded")
	}
	defer s.closeWindow(w)
	return s.run(ctx, call)
}

func (s *endpointServer) run(ctx context.Context, call *calllink.Call) *calllink.Reply {
	deadline := s.config.Now() + time.Duration(call.RemainingMs)*time.Millisecond
	if !s.enter(ctx, call, deadline) {
		return refusal(calllink.RefusedNoCapacity, "the endpoint has no slot in time")
	}
	s.started(call.Route)
	end := ended{route: call.Route, began: s.config.Now(), deadline: deadline}
	defer func() { s.leave(end) }()
	reply, whole := s.exchange(ctx, call, deadline)
	end.whole, end.refused = whole, reply.Refused == calllink.RefusedByEndpoint
	return reply
}

func refusal(why calllink.Refusal, detail string) *calllink.Reply {
	return &calllink.Reply{Refused: why, Detail: detail}
}

// exchange hands a call to the endpoint. whole says that it ran to its end.
func (s *endpointServer) exchange(ctx context.Context, call *calllink.Call, deadline time.Duration) (reply *calllink.Reply, whole bool) {
	request := call.Request()
	if s.suspects.held(request) > 0 {
		s.config.Log.Emit(event.SuspectRefused, request.Header.Get(s.config.Headers.RequestID), event.F("fingerprint", fingerprint(request)))
		return refusal(calllink.RefusedQuarantined, "endpoints that ran this request crashed"), false
	}
	if !s.sends(call) {
		return refusal(calllink.RefusedCircuitOpen, "the endpoint breaks off all calls"), false
	}
	remaining := deadline - s.config.Now()
	if !call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining, errDeadline)
	defer cancel()
	answer, fate, err := s.pool.Do(ctx, &endpointlink.Call{
		Request:       request,
		Endpoint:      call.Endpoint,
		CallerService: call.CallerService,
		Remaining:     remaining,
		Idempotent:    call.Idempotent,
	})
	s.heard(fate, err, ctx.Err() != nil)
	switch {
	case fate == endpointlink.Answered:
		if answer.Status >= http.StatusInternalServerError {
			s.config.Log.Emit(event.EndpointFailed, answer.Header.Get(s.config.Headers.RequestID), event.F("route", call.Route),
				event.F("status", answer.Status), event.F("took", s.config.Now()-deadline+remaining))
		}
		answer.Header.Del(s.config.Headers.RequestID) // the entrance knows it
		if answer.Status < http.StatusInternalServerError {
			s.suspects.excuse(request)
		}
		reply = &calllink.Reply{}
		reply.SetAnswer(answer)
		return reply, answer.Status < 300
	case fate == endpointlink.NotRun && answer == nil && errors.Is(err, endpointlink.ErrRefused):
		return refusal(calllink.RefusedByEndpoint, err.Error()), false
	case fate == endpointlink.NotRun:
		if endpointlink.IsConnectionRefused(err) {
			s.crashed(s.crashes.gone())
		}
		return refusal(calllink.RefusedUnreachable, err.Error()), false
	case ctx.Err() != nil:
		s.crashes.leave(request, call.Route, deadline)
		return &calllink.Reply{Detail: context.Cause(ctx).Error()}, false
	default:
		s.tellBroken(request, err)
		crash, crashed := s.crashes.broke()
		if crashed {
			s.suspects.blame(request, call.Route, crash)
		}
		s.crashed(crash, crashed)
		return &calllink.Reply{Detail: err.Error()}, false
	}
}

// describe adds to a reply what the node says of itself.
func (s *endpointServer) describe(call *calllink.Call, inner bool, reply *calllink.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Load = calllink.Load{
		Outstanding:      s.gate.Busy(),
		Limit:            s.gate.Limit(),
		PressurePermille: int(s.chainPressure(call.Route) * thousandths),
		RefusalPermille:  int(s.refusals.Share() * thousandths),
		InternalOnly:     inner,
		CallsDownstream:  len(s.graph.Callees(call.Route)) > 0,
		TypicalMs:        int(s.usualTime(call.Route).Milliseconds()),
		Leaving:          s.draining || s.leaving(),
	}
}

// tick lets calls that waited go when their time is over.
func (s *endpointServer) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow()
	s.graph.Tick(s.config.Now())
	s.adaptWindows()
}

func (s *endpointServer) busy() int {
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

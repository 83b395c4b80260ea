package traffic

import (
	"context"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

// serveOutbound serves a call that the local endpoint makes.
func (t *Traffic) serveOutbound(w http.ResponseWriter, r *http.Request) {
	started := t.config.Now()
	correlation := t.correlationOfParent(r)
	a := t.answerOutbound(r)
	t.config.Metrics.RecordCall(metrics.RoleOutbound, t.config.Now()-started)
	if a.problem != nil {
		t.refuse(w, a.problem, correlation)
		return
	}
	a.writeToCaller(w, r.Method)
}

// correlationOfParent returns the ID under which events of the request are
// logged, or nothing when the call names no running one.
func (t *Traffic) correlationOfParent(r *http.Request) string {
	id, err := call.ParseID(r.Header.Get(call.HeaderParent))
	if err != nil {
		return ""
	}
	if p := t.parents.get(id); p != nil {
		return p.correlation
	}
	return ""
}

func (t *Traffic) answerOutbound(r *http.Request) *answer {
	v := t.config.View.Load()
	route, refused := t.outboundRoute(v, r)
	if refused != nil {
		return failed(refused)
	}
	q, refused := readRequest(r, r.Method, r.URL.RequestURI(), r.URL.Path, route.BodyLimit())
	if refused != nil {
		return failed(refused)
	}
	named := r.Header.Get(call.HeaderParent)
	if named == "" {
		return t.background(r.Context(), v, route, q)
	}
	id, err := call.ParseID(named)
	if err != nil {
		return failed(problem.New(problem.KindBadCall, problem.NotExecuted, "%v", err))
	}
	p := t.parents.get(id)
	if p == nil {
		return failed(problem.New(problem.KindUnknownParent, problem.ExecutionUnknown, "call %s is not running here", named))
	}
	return t.child(r, p, route, q)
}

// outboundRoute returns the route of an endpoint's call. The endpoint may only
// call what the catalogue's graph allows.
func (t *Traffic) outboundRoute(v *fleetview.View, r *http.Request) (*catalogue.Route, *problem.Error) {
	if v.Index == nil {
		return nil, problem.New(problem.KindNotReady, problem.NotExecuted, "no catalogue is in force yet")
	}
	route := v.Index.Route(r.Method, r.URL.Path)
	own := v.Index.Service(t.config.Settings.Service)
	if route == nil || own == nil {
		return nil, problem.New(problem.KindNoRoute, problem.NotExecuted, "no route for %s %s", r.Method, r.URL.Path)
	}
	if !slices.Contains(own.Callees, route.Service) {
		return nil, problem.New(problem.KindNoRoute, problem.NotExecuted, "service %s may not call %s", own.Name, route.Service)
	}
	return route, nil
}

// background carries a call that belongs to no request.
func (t *Traffic) background(ctx context.Context, v *fleetview.View, route *catalogue.Route, q *request) *answer {
	o := t.rootCall(v, route, q, route.Timeout(), newID().String())
	if rank, ok := v.Index.Rank(v.Index.Service(t.config.Settings.Service).Class); ok {
		o.priority = priority.New(rank, xxhash.Sum64(o.root[:]))
	}
	ctx, cancel := context.WithTimeout(ctx, route.Timeout())
	return t.carry(ctx, o).onClose(cancel)
}

// child carries a call that the endpoint makes for a running call.
func (t *Traffic) child(r *http.Request, p *parent, route *catalogue.Route, q *request) *answer {
	key := childKey(q)
	fingerprint := xxhash.Sum64(key[:])
	t.chain.called(p.route, route)
	resend, beside := p.childStarts(t.config.Now(), fingerprint)
	var a *answer
	if route.Idempotent {
		if beside {
			p.losses.suspectAttempt()
		}
		a = t.idempotentChild(r.Context(), p, route, q, resend)
	} else {
		a = p.children.do(r.Context(), key, q.fingerprint, func() *answer {
			return t.sendChild(context.WithoutCancel(r.Context()), p, route, q)
		})
	}
	ok := a.problem == nil
	return a.onClose(func() { p.childEnds(t.config.Now(), fingerprint, ok) })
}

// idempotentChild carries a call that may be repeated. A resend by the endpoint
// counts against the root's retry budget like one by a node.
func (t *Traffic) idempotentChild(ctx context.Context, p *parent, route *catalogue.Route, q *request, resend bool) *answer {
	if resend && !p.pool.spend() {
		return failed(problem.New(problem.KindRetryBudget, problem.NotExecuted, "the request has no retries left"))
	}
	return t.sendChild(ctx, p, route, q)
}

// sendChild carries a call with what it inherits from its parent. It ends with
// its parent.
func (t *Traffic) sendChild(ctx context.Context, p *parent, route *catalogue.Route, q *request) *answer {
	deadline := min(p.deadline, t.config.Now()+route.Timeout())
	ctx, cancel := context.WithTimeout(ctx, t.remainingOf(deadline))
	stop := context.AfterFunc(p.ctx, cancel)
	a := t.carry(ctx, &outgoing{
		root:        p.root,
		priority:    p.priority,
		correlation: p.correlation,
		depth:       p.depth + 1,
		route:       route,
		request:     q,
		deadline:    deadline,
		pool:        p.pool,
		losses:      p.losses,
		origin:      p.origin,
	})
	return a.onClose(func() {
		stop()
		cancel()
	})
}

// childKey identifies a non-idempotent call of the endpoint within its parent:
// by the endpoint's own key if it gives one, else by the call's content.
func childKey(q *request) idempotency.Key {
	d := xxhash.New()
	_, _ = d.WriteString(q.header.Get(call.HeaderIdempotencyKey)) // a hash never fails to write
	var k idempotency.Key
	putUint64(k[:8], q.fingerprint)
	putUint64(k[8:], d.Sum64())
	return k
}

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

// correlationOfParent returns the correlation ID of the running call that the
// request names as its parent, or an empty string if there is none.
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
		return problemAnswer(refused)
	}
	q, refused := readRequest(r, r.Method, r.URL.RequestURI(), r.URL.Path, route.BodyLimit())
	if refused != nil {
		return problemAnswer(refused)
	}
	parentID := r.Header.Get(call.HeaderParent)
	if parentID == "" {
		return t.background(r.Context(), v, route, q)
	}
	id, err := call.ParseID(parentID)
	if err != nil {
		return problemAnswer(problem.New(problem.KindBadCall, problem.NotExecuted, "%v", err))
	}
	p := t.parents.get(id)
	if p == nil {
		return problemAnswer(problem.New(problem.KindUnknownParent, problem.ExecutionUnknown, "call %s is not running here", parentID))
	}
	return t.child(r, p, route, q)
}

// outboundRoute returns the route of an endpoint's call. The endpoint may call
// only the services that the catalogue lists as its callees.
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

// background forwards a call that has no parent.
func (t *Traffic) background(ctx context.Context, v *fleetview.View, route *catalogue.Route, q *request) *answer {
	o := t.rootCall(v, route, q, route.Timeout(), newID().String())
	if rank, ok := v.Index.Rank(v.Index.Service(t.config.Settings.Service).Class); ok {
		o.priority = priority.New(rank, xxhash.Sum64(o.root[:]))
	}
	ctx, cancel := context.WithTimeout(ctx, route.Timeout())
	return t.forward(ctx, o).onClose(cancel)
}

// child forwards a call that the endpoint makes on behalf of a running call.
func (t *Traffic) child(r *http.Request, p *parent, route *catalogue.Route, q *request) *answer {
	key := childKey(q)
	fingerprint := xxhash.Sum64(key[:])
	t.calleeTable.recordCall(p.route, route)
	resend, concurrent := p.startChild(t.config.Now(), fingerprint)
	var a *answer
	if route.Idempotent {
		if concurrent {
			p.losses.recordPossibleCrash()
		}
		a = t.idempotentChild(r.Context(), p, route, q, resend)
	} else {
		a = p.childRecords.do(r.Context(), key, q.fingerprint, func() *answer {
			return t.sendChild(context.WithoutCancel(r.Context()), p, route, q)
		})
	}
	ok := a.problem == nil
	return a.onClose(func() { p.finishChild(t.config.Now(), fingerprint, ok) })
}

// idempotentChild forwards a child call that may be repeated. A resend by the
// endpoint is charged to the root's retry budget like a retry by a node.
func (t *Traffic) idempotentChild(ctx context.Context, p *parent, route *catalogue.Route, q *request, resend bool) *answer {
	if resend && !p.retryBudget.spend() {
		return problemAnswer(problem.New(problem.KindRetryBudget, problem.NotExecuted, "the request has no retries left"))
	}
	return t.sendChild(ctx, p, route, q)
}

// sendChild forwards a child call with the properties inherited from its parent.
// It is cancelled when its parent ends.
func (t *Traffic) sendChild(ctx context.Context, p *parent, route *catalogue.Route, q *request) *answer {
	deadline := min(p.deadline, t.config.Now()+route.Timeout())
	ctx, cancel := context.WithTimeout(ctx, t.remainingUntil(deadline))
	stop := context.AfterFunc(p.ctx, cancel)
	a := t.forward(ctx, &outgoing{
		root:        p.root,
		priority:    p.priority,
		correlation: p.correlation,
		depth:       p.depth + 1,
		route:       route,
		request:     q,
		deadline:    deadline,
		retryBudget: p.retryBudget,
		losses:      p.losses,
		origin:      p.origin,
	})
	return a.onClose(func() {
		stop()
		cancel()
	})
}

// childKey identifies a non-idempotent child call within its parent by its content
// and, if the endpoint sets one, its idempotency key.
func childKey(q *request) idempotency.Key {
	d := xxhash.New()
	_, _ = d.WriteString(q.header.Get(call.HeaderIdempotencyKey)) // a hash never fails to write
	var k idempotency.Key
	putUint64(k[:8], q.fingerprint)
	putUint64(k[8:], d.Sum64())
	return k
}

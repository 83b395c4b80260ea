package traffic

import (
	"context"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/priority"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

// serveCaller serves a request from outside the fleet.
func (t *Traffic) serveCaller(w http.ResponseWriter, r *http.Request) {
	started := t.config.Now()
	correlation := correlationOf(r)
	a := t.answerCaller(r, correlation)
	t.config.Metrics.RecordCall(metrics.RoleCaller, t.config.Now()-started)
	w.Header().Set(call.HeaderCorrelation, correlation)
	if a.problem != nil {
		t.refuse(w, a.problem, correlation)
		return
	}
	a.writeToCaller(w, r.Method)
}

// refuse records a refusal and writes it in place of an endpoint's answer.
func (t *Traffic) refuse(w http.ResponseWriter, e *problem.Error, correlation string) {
	t.config.Metrics.RecordRefusal(e.Kind)
	t.config.Refusals.Add(time.Now(), correlation, e.Kind, e.Detail)
	t.config.Log.Emit(event.CallRefused, correlation,
		event.F("kind", e.Kind.String()), event.F("ran", e.Execution.String()), event.F("detail", e.Detail))
	problem.Write(w, e, correlation)
}

func (t *Traffic) answerCaller(r *http.Request, correlation string) *answer {
	v := t.config.View.Load()
	route, refused := callerRoute(v, r)
	if refused != nil {
		return problemAnswer(refused)
	}
	q, refused := readRequest(r, r.Method, r.URL.RequestURI(), r.URL.Path, route.BodyLimit())
	if refused != nil {
		return problemAnswer(refused)
	}
	timeout := callerTimeout(r, route)
	key := r.Header.Get(call.HeaderIdempotencyKey)
	if key == "" || route.Idempotent {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		a := t.forward(ctx, t.rootCall(v, route, q, timeout, correlation))
		return a.onClose(cancel)
	}
	return t.runKeyed(r.Context(), &keyedCall{key: key, route: route, request: q, timeout: timeout, correlation: correlation})
}

func callerRoute(v *fleetview.View, r *http.Request) (*catalogue.Route, *problem.Error) {
	if v.Index == nil {
		return nil, problem.New(problem.KindNotReady, problem.NotExecuted, "no catalogue is in force yet")
	}
	route := v.Index.Route(r.Method, r.URL.Path)
	if route == nil || route.Internal {
		return nil, problem.New(problem.KindNoRoute, problem.NotExecuted, "no route for %s %s", r.Method, r.URL.Path)
	}
	return route, nil
}

// rootCall returns the root call of a request from outside the fleet. Priority
// class and root ID are never taken from the caller.
func (t *Traffic) rootCall(v *fleetview.View, route *catalogue.Route, q *request, timeout time.Duration, correlation string) *outgoing {
	root := newID()
	rank, _ := v.Index.Rank(route.Class) // a valid catalogue defines the class of every route
	return &outgoing{
		root:        root,
		priority:    priority.New(rank, xxhash.Sum64(root[:])),
		correlation: correlation,
		route:       route,
		request:     q,
		deadline:    t.config.Now() + timeout,
		retryBudget: newSharedBudget(v.Index.Catalogue().Retry.BudgetPerRequest),
		losses:      newLosses(nil, false),
		origin:      t.self(),
	}
}

// callerTimeout returns the route's timeout, or a shorter one that the caller
// requests.
func callerTimeout(r *http.Request, route *catalogue.Route) time.Duration {
	timeout := route.Timeout()
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return timeout
	}
	return min(timeout, time.Duration(ms)*time.Millisecond)
}

const (
	// traceIDField is the index of the trace ID among the fields of a traceparent
	// header.
	traceIDField = 1
	// traceIDLength is the length of a trace ID in hexadecimal digits.
	traceIDLength = 32
)

// correlationOf returns the trace ID of the caller's traceparent header, or a
// new ID.
func correlationOf(r *http.Request) string {
	fields := strings.Split(r.Header.Get("Traceparent"), "-")
	if len(fields) > traceIDField && len(fields[traceIDField]) == traceIDLength {
		if _, err := hex.DecodeString(fields[traceIDField]); err == nil {
			return fields[traceIDField]
		}
	}
	return newID().String()
}

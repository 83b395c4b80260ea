package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/answer"
	"github.com/galenacart/galenacart/internal/standin/truth"
	"github.com/galenacart/galenacart/internal/wait"
)

// statusClientClosedRequest is the status recorded for a call whose caller
// disconnected.
const statusClientClosedRequest = 499

// Values of truth.Record.Reason.
const (
	reasonDraining     = "draining"
	reasonQueueFull    = "queue full"
	reasonTimeout      = "timeout"
	reasonDisconnected = "caller gone"
)

// Handler returns the HTTP handler of the endpoint's service.
func (e *Endpoint) Handler() http.Handler {
	return http.HandlerFunc(e.serve)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	if !e.delayFirstRequest(r.Context()) {
		return
	}
	if r.URL.Path == HealthPath {
		e.serveHealth(w, r)
		return
	}
	in, err := e.readIncoming(w, r, arrival)
	if err != nil {
		writeError(w, http.StatusBadRequest, answer.ErrorResponse{Error: err.Error()})
		return
	}
	if in.route == nil {
		writeError(w, http.StatusNotFound, answer.ErrorResponse{Error: "no such route"})
		return
	}
	e.addRecord(in, truth.Record{Kind: truth.Received})
	if !e.gate.enter() {
		e.refuse(w, in, reasonDraining)
		return
	}
	defer e.gate.leave()
	ctx, cancel := in.context(r.Context(), e.behaviour.Load().IgnoreCancellation)
	defer cancel()
	e.queueAndRun(ctx, w, in)
}

// queueAndRun waits for a slot and runs the call in it.
func (e *Endpoint) queueAndRun(ctx context.Context, w http.ResponseWriter, in *incoming) {
	err := e.slots.acquire(ctx)
	if errors.Is(err, errQueueFull) {
		e.refuse(w, in, reasonQueueFull)
		return
	}
	if err != nil {
		e.respondCancelled(w, in, err, 0)
		return
	}
	defer e.slots.release()
	start := time.Now()
	e.addRecord(in, truth.Record{Kind: truth.Started})
	response, err := e.work(ctx, in)
	runTime := time.Since(start)
	switch {
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler) // reached only if a test overrides Options.Crash
	case err == nil:
		// The call completed, even if the caller disconnected just before the end.
		e.addRecord(in, truth.Record{Kind: truth.Finished, Status: http.StatusOK, RunMs: toMs(runTime)})
		writeJSON(w, http.StatusOK, response)
	case ctx.Err() != nil:
		e.respondCancelled(w, in, ctx.Err(), runTime)
	default:
		e.respondChildFailed(w, in, err, runTime)
	}
}

// refuse responds with status 503 to a call that is not started.
func (e *Endpoint) refuse(w http.ResponseWriter, in *incoming, reason string) {
	e.addRecord(in, truth.Record{Kind: truth.Refused, Status: http.StatusServiceUnavailable, Reason: reason})
	w.Header().Set("Retry-After", strconv.Itoa(e.settings.RetryAfterSeconds))
	writeError(w, http.StatusServiceUnavailable, answer.ErrorResponse{Error: reason})
}

// respondCancelled responds to a call whose deadline passed or whose caller
// disconnected. runTime is 0 for a call that never acquired a slot.
func (e *Endpoint) respondCancelled(w http.ResponseWriter, in *incoming, cause error, runTime time.Duration) {
	status, reason := statusClientClosedRequest, reasonDisconnected
	if errors.Is(cause, context.DeadlineExceeded) {
		status, reason = http.StatusGatewayTimeout, reasonTimeout
	}
	e.addRecord(in, truth.Record{Kind: truth.Cancelled, Status: status, Reason: reason, RunMs: toMs(runTime)})
	writeError(w, status, answer.ErrorResponse{Error: reason})
}

// respondChildFailed responds with status 502 after a failed child call.
func (e *Endpoint) respondChildFailed(w http.ResponseWriter, in *incoming, err error, runTime time.Duration) {
	f := answer.ErrorResponse{Error: "child call failed", Detail: err.Error()}
	var child *childError
	if errors.As(err, &child) {
		f.Child = child.child.Method + " " + child.child.Path
		f.Status = child.status
	}
	e.addRecord(in, truth.Record{
		Kind:   truth.Finished,
		Status: http.StatusBadGateway,
		Reason: err.Error(),
		RunMs:  toMs(runTime),
	})
	writeError(w, http.StatusBadGateway, f)
}

// addRecord writes a record of a call to the log of calls.
func (e *Endpoint) addRecord(in *incoming, r truth.Record) {
	full := in.record
	full.Kind = r.Kind
	full.Status = r.Status
	full.Reason = r.Reason
	full.RunMs = r.RunMs
	e.truth.Add(full)
}

// delayFirstRequest delays the first request on a connection by the configured
// connection cost. It returns false if ctx ends first.
func (e *Endpoint) delayFirstRequest(ctx context.Context) bool {
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok || t.used.Swap(true) {
		return true
	}
	return wait.For(ctx, milliseconds(e.settings.ConnectionCostMs))
}

// connKey is the context key of a request's connection.
type connKey struct{}

// emitLimitEvent emits EndpointConnectionLimit at most once per second.
func (e *Endpoint) emitLimitEvent() {
	now := time.Now().Unix()
	if e.lastLimitEvent.Swap(now) != now {
		e.log.Emit(event.EndpointConnectionLimit, "", event.F("limit", e.settings.Connections))
	}
}

func writeError(w http.ResponseWriter, status int, f answer.ErrorResponse) {
	writeJSON(w, status, f)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the caller may have disconnected
}

// toMs returns a duration in milliseconds.
func toMs(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

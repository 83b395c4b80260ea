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

// statusCallerGone stands in the log for a call whose caller went away.
const statusCallerGone = 499

// Reasons in the log.
const (
	reasonDraining   = "draining"
	reasonQueueFull  = "queue full"
	reasonTimeout    = "timeout"
	reasonCallerGone = "caller gone"
)

// Handler returns the endpoint's service.
func (e *Endpoint) Handler() http.Handler {
	return http.HandlerFunc(e.serve)
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	if !e.payForConnection(r.Context()) {
		return
	}
	if r.URL.Path == HealthPath {
		e.serveHealth(w, r)
		return
	}
	in, err := e.readIncoming(w, r, arrival)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, answer.ErrorResponse{Error: err.Error()})
		return
	}
	if in.route == nil {
		writeFailure(w, http.StatusNotFound, answer.ErrorResponse{Error: "no such route"})
		return
	}
	e.note(in, truth.Record{Kind: truth.Received})
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
	if errors.Is(err, errShed) {
		e.refuse(w, in, reasonQueueFull)
		return
	}
	if err != nil {
		e.giveUp(w, in, err, 0)
		return
	}
	defer e.slots.release()
	start := time.Now()
	e.note(in, truth.Record{Kind: truth.Started})
	a, err := e.work(ctx, in)
	ran := time.Since(start)
	switch {
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler) // only reached when a test replaced the crash
	case err == nil:
		// The work is done, even if its caller left in the last moment.
		e.note(in, truth.Record{Kind: truth.Finished, Status: http.StatusOK, RunMs: toMs(ran)})
		writeJSON(w, http.StatusOK, a)
	case ctx.Err() != nil:
		e.giveUp(w, in, ctx.Err(), ran)
	default:
		e.answerChildFailed(w, in, err, ran)
	}
}

// refuse answers a call that is not started.
func (e *Endpoint) refuse(w http.ResponseWriter, in *incoming, reason string) {
	e.note(in, truth.Record{Kind: truth.Refused, Status: http.StatusServiceUnavailable, Reason: reason})
	w.Header().Set("Retry-After", strconv.Itoa(e.settings.RetryAfterSeconds))
	writeFailure(w, http.StatusServiceUnavailable, answer.ErrorResponse{Error: reason})
}

// giveUp ends a call whose time passed or whose caller went away. ran is 0 for
// a call that never got a slot.
func (e *Endpoint) giveUp(w http.ResponseWriter, in *incoming, cause error, ran time.Duration) {
	status, reason := statusCallerGone, reasonCallerGone
	if errors.Is(cause, context.DeadlineExceeded) {
		status, reason = http.StatusGatewayTimeout, reasonTimeout
	}
	e.note(in, truth.Record{Kind: truth.Cancelled, Status: status, Reason: reason, RunMs: toMs(ran)})
	writeFailure(w, status, answer.ErrorResponse{Error: reason})
}

func (e *Endpoint) answerChildFailed(w http.ResponseWriter, in *incoming, err error, ran time.Duration) {
	f := answer.ErrorResponse{Error: "child call failed", Detail: err.Error()}
	var child *childError
	if errors.As(err, &child) {
		f.Child = child.child.Method + " " + child.child.Path
		f.Status = child.status
	}
	e.note(in, truth.Record{
		Kind:   truth.Finished,
		Status: http.StatusBadGateway,
		Reason: err.Error(),
		RunMs:  toMs(ran),
	})
	writeFailure(w, http.StatusBadGateway, f)
}

// note writes a record about a call.
func (e *Endpoint) note(in *incoming, r truth.Record) {
	full := in.record
	full.Kind = r.Kind
	full.Status = r.Status
	full.Reason = r.Reason
	full.RunMs = r.RunMs
	e.truth.Add(full)
}

// payForConnection delays the first request on a connection.
func (e *Endpoint) payForConnection(ctx context.Context) bool {
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok || t.served.Swap(true) {
		return true
	}
	return wait.For(ctx, milliseconds(e.settings.ConnectionCostMs))
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

func (e *Endpoint) noteLimit() {
	now := time.Now().Unix()
	if e.limitLog.Swap(now) != now {
		e.log.Emit(event.EndpointConnectionLimit, "", event.F("limit", e.settings.Connections))
	}
}

func writeFailure(w http.ResponseWriter, status int, f answer.ErrorResponse) {
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
	_, _ = w.Write(encoded) // the caller may be gone
}

func toMs(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

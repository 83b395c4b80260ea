package traffic

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/idempotency"
	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/problem"
)

// peerBodyMax bounds a request body between nodes. The limits of the catalogue
// were applied by the node at which the call entered.
const peerBodyMax = 64 << 20

// servePeer serves a call from another node.
func (t *Traffic) servePeer(w http.ResponseWriter, r *http.Request) {
	started := t.config.Now()
	if !t.peers.authenticates(r) {
		t.config.Log.Emit(event.UnauthenticatedCallRefused, "", event.F("address", r.RemoteAddr))
		problem.Write(w, problem.New(problem.KindBadCall, problem.NotExecuted, "not a node of this fleet"), "")
		return
	}
	m, err := call.GetMeta(r.Header)
	if err != nil {
		problem.Write(w, problem.New(problem.KindBadCall, problem.NotExecuted, "%v", err), "")
		return
	}
	t.config.Log.Clock().Observe(m.Clock)
	target := strings.TrimPrefix(r.RequestURI, pathCall)
	path := strings.TrimPrefix(r.URL.Path, pathCall)
	q, refused := readRequest(r, m.Method, target, path, peerBodyMax)
	if refused != nil {
		t.writePeer(w, m, path, problemAnswer(refused))
		return
	}
	progress := startProgress(w, t.peers.silenceTimeout)
	a := t.answerPeer(r, m, q)
	progress.stop()
	t.writePeer(w, m, path, a)
	t.config.Metrics.RecordCall(metrics.RolePeer, t.config.Now()-started)
}

// answerPeer dispatches a request of another node. The home of a request with an
// idempotency token is the one process that may start it. Fencing an attempt prevents it
// from being executed later.
func (t *Traffic) answerPeer(r *http.Request, m *call.Meta, q *request) *answer {
	switch {
	// The sender asks to fence the request of a token whose home is this node.
	case m.Fence:
		return t.fenceAtHome(r.Context(), m.Token)
	// A request with an idempotency token or key is forwarded to this node as its home.
	case m.Token != "" || m.OwnKey != "":
		return t.serveKeyedForPeer(r.Context(), m, q)
	// The sender asks for the outcome of an attempt that it sent to an earlier process of
	// this node, which is not known here.
	case m.ResumeIncarnation != 0 && m.ResumeIncarnation != t.config.Incarnation:
		return problemAnswer(problem.New(problem.KindHomeLost, problem.ExecutionUnknown, "the process that got the call is gone"))
	// The sender asks for the outcome of an attempt that it sent to this process. An attempt
	// that has not been started is fenced.
	case m.ResumeIncarnation != 0:
		return t.attempts.queryOrFence(r.Context(), idempotency.Key(m.Attempt), q.fingerprint)
	// Any other call is run by an endpoint of this node.
	default:
		return t.serveLocal(r.Context(), m, q)
	}
}

// writePeer sends an answer to another node. The hash in the trailer lets the receiver
// verify that the body is complete. If the answer can't be sent whole, the connection is
// aborted, so that the receiver does not take it for a complete answer.
func (t *Traffic) writePeer(w http.ResponseWriter, m *call.Meta, path string, a *answer) {
	h := w.Header()
	if a.problem == nil {
		a.copyHeaders(h)
	}
	if err := call.SetReply(h, t.reply(m, path, a)); err != nil {
		a.close()
		panic(http.ErrAbortHandler)
	}
	h.Set("Trailer", call.HeaderAnswerHash)
	w.WriteHeader(http.StatusOK)
	hash := xxhash.New()
	if err := a.writeBody(io.MultiWriter(w, hash)); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.trailer() {
		h[http.TrailerPrefix+trailerPrefix+name] = values
	}
	h.Set(call.HeaderAnswerHash, formatHash(hash.Sum64()))
}

// remainingUntil returns the time left until a deadline, or 0 after it.
func (t *Traffic) remainingUntil(deadline time.Duration) time.Duration {
	return max(deadline-t.config.Now(), 0)
}

package traffic

import (
	"context"
	"io"
	"log"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/call"
)

const (
	// headerSending carries the ID of the send that a request belongs to.
	headerSending = "X-Sending"
	// restartDelay is the time until a crashed endpoint is restarted.
	restartDelay = 300 * time.Millisecond
	// childTimeout bounds the calls that an endpoint makes.
	childTimeout = 600 * time.Millisecond

	fillerSmall = 40
	fillerLarge = answerBufferBytes + 10<<10
)

// fuzzEndpoint is the endpoint of one VM. It records every run.
type fuzzEndpoint struct {
	history  *history
	location vmLocation

	mu      sync.Mutex
	process *process
	server  *http.Server
}

// start starts the endpoint as a new process.
func (e *fuzzEndpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = &process{kind: endpointProcess, vm: e.location.vm, zone: e.location.zone}
	e.server = &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0)}
	l := e.history.network.listen(e.process, e.location.host+portEndpoint)
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
}

// stop ends the endpoint's process. It returns false if that has ended before.
func (e *fuzzEndpoint) stop() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := !e.process.dead.Swap(true)
	e.history.network.closeConnsOf(e.process)
	_ = e.server.Close()
	return ended
}

// closeConns closes all connections to the endpoint, which keeps running.
func (e *fuzzEndpoint) closeConns() {
	w := e.history.network
	for _, c := range w.matchingConns(func(c *memoryConn) bool { return c.to.address == e.location.host+portEndpoint }) {
		c.close()
	}
}

// ServeHTTP runs a call.
func (e *fuzzEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathHealth {
		return
	}
	h := e.history
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete
	}
	plan := h.nextRun()
	h.tally.add("run:" + behaviourNames[plan.Behaviour])
	if plan.Behaviour == behaviourRefuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	content := r.URL.Query()
	if r.Method == http.MethodPost {
		content, _ = url.ParseQuery(string(body))
	}
	status, filler := http.StatusOK, fillerSmall
	if plan.Behaviour == behaviourLarge {
		filler = fillerLarge
	}
	run := h.observations.run(r.Header.Get(headerSending), e.location.vm, status, filler)
	if content.Get("crash") != "" && e.location.service == "deep" {
		e.crash(run)
	}
	time.Sleep(time.Duration(plan.SlowMs) * time.Millisecond)
	if e.location.service == "middle" {
		e.callDownstream(r, run, content.Get("crash") != "", plan.Resend)
	}
	writeAnswer(w, run, plan.Behaviour)
}

// crash ends the endpoint during a run and restarts it after restartDelay. Several requests may do so at one
// moment; it is restarted once.
func (e *fuzzEndpoint) crash(run *runEntry) {
	e.history.observations.mu.Lock()
	run.crashed = true
	e.history.observations.mu.Unlock()
	e.history.tally.add("endpoint-crash")
	if e.stop() {
		time.AfterFunc(restartDelay, func() {
			if !e.history.over.Load() {
				e.start()
			}
		})
	}
	panic(http.ErrAbortHandler)
}

// writeAnswer answers a run with the planned behaviour.
func writeAnswer(w http.ResponseWriter, run *runEntry, m behaviour) {
	half := run.body[:len(run.body)/2]
	switch m {
	case behaviourAbort:
		panic(http.ErrAbortHandler)
	case behaviourTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(run.body)))
		_, _ = io.WriteString(w, half)
		panic(http.ErrAbortHandler)
	case behaviourBreak:
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case behaviourChunked:
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, run.body[len(half):])
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(run.body)))
		_, _ = io.WriteString(w, run.body)
	}
}

// callDownstream makes a call of the endpoint, and resends it on failure if resend
// is true.
func (e *fuzzEndpoint) callDownstream(r *http.Request, run *runEntry, crash, resend bool) {
	e.mu.Lock()
	from := e.process
	e.mu.Unlock()
	id := run.id + "/" + strconv.Itoa(run.number)
	ctx, cancel := context.WithTimeout(r.Context(), childTimeout)
	defer cancel()
	for i := range 2 {
		q := testRequest{
			id: id, sending: id + "." + strconv.Itoa(i), method: r.Method, address: e.location.host + portOutbound,
			target: "/deep", crash: crash, parent: r.Header.Get(call.HeaderCall),
		}
		a := e.history.sendRequest(ctx, from, &q)
		if a.isComplete() || !resend {
			return
		}
		e.history.tally.add("endpoint-resend")
	}
}

// testRequest is one request sent by a caller or an endpoint.
type testRequest struct {
	id, sending, method, address, target, key, parent string
	crash, fence                                      bool
}

func (q *testRequest) build(ctx context.Context) (*http.Request, error) {
	root, _, _ := strings.Cut(q.id, "/") // all calls of a chain have the same content
	content := "id=" + root
	if q.crash {
		content += "&crash=1"
	}
	target, body := q.target, ""
	if q.method == http.MethodGet {
		target += "?" + content
	} else {
		body = content
	}
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+target, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerSending, q.sending)
	if q.key != "" {
		r.Header.Set(call.HeaderIdempotencyKey, q.key)
	}
	if q.parent != "" {
		r.Header.Set(call.HeaderParent, q.parent)
	}
	return r, nil
}

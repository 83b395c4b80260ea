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
	// headerSending names the sending that a request belongs to.
	headerSending = "X-Sending"
	// restartAfter is the time until a broken endpoint is back.
	restartAfter = 300 * time.Millisecond
	// childPatience bounds the wait of an endpoint for its own calls.
	childPatience = 600 * time.Millisecond

	fillerSmall = 40
	fillerLarge = answerBufferBytes + 10<<10
)

// fuzzEndpoint is the endpoint of one VM. It notes every run.
type fuzzEndpoint struct {
	history *history
	place   vmPlace

	mu      sync.Mutex
	process *process
	server  *http.Server
}

// start makes the endpoint listen.
func (e *fuzzEndpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process = &process{kind: endpointProcess, vm: e.place.vm, zone: e.place.zone}
	e.server = &http.Server{Handler: e, ErrorLog: log.New(io.Discard, "", 0)}
	l := e.history.network.listen(e.process, e.place.host+portEndpoint)
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
}

// stop breaks the endpoint down.
func (e *fuzzEndpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process.dead.Store(true)
	e.history.network.end(e.process)
	_ = e.server.Close()
}

// abort ends all connections to the endpoint, which goes on working.
func (e *fuzzEndpoint) abort() {
	w := e.history.network
	for _, c := range w.open(func(c *memoryConn) bool { return c.to.address == e.place.host+portEndpoint }) {
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
		return // the request never was whole
	}
	plan := h.nextRun()
	h.tally.add("run:" + mannerNames[plan.Manner])
	if plan.Manner == mannerRefuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	content := r.URL.Query()
	if r.Method == http.MethodPost {
		content, _ = url.ParseQuery(string(body))
	}
	status, filler := http.StatusOK, fillerSmall
	if plan.Manner == mannerLarge {
		filler = fillerLarge
	}
	run := h.ledger.run(r.Header.Get(headerSending), e.place.vm, status, filler)
	if content.Get("crash") != "" && e.place.service == "deep" {
		e.breakDown(run)
	}
	time.Sleep(time.Duration(plan.SlowMs) * time.Millisecond)
	if e.place.service == "middle" {
		e.callBelow(r, run, content.Get("crash") != "", plan.Resend)
	}
	writeRun(w, run, plan.Manner)
}

// breakDown ends the endpoint in the middle of a run. It is back after a while.
func (e *fuzzEndpoint) breakDown(run *runEntry) {
	e.history.ledger.mu.Lock()
	run.crashed = true
	e.history.ledger.mu.Unlock()
	e.history.tally.add("endpoint-crash")
	e.stop()
	time.AfterFunc(restartAfter, func() {
		if !e.history.over.Load() {
			e.start()
		}
	})
	panic(http.ErrAbortHandler)
}

// writeRun answers a run in the planned manner.
func writeRun(w http.ResponseWriter, run *runEntry, m manner) {
	half := run.body[:len(run.body)/2]
	switch m {
	case mannerAbort:
		panic(http.ErrAbortHandler)
	case mannerTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(run.body)))
		_, _ = io.WriteString(w, half)
		panic(http.ErrAbortHandler)
	case mannerBreak:
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case mannerChunked:
		_, _ = io.WriteString(w, half)
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, run.body[len(half):])
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(run.body)))
		_, _ = io.WriteString(w, run.body)
	}
}

// callBelow makes the endpoint's own call, once more if it failed.
func (e *fuzzEndpoint) callBelow(r *http.Request, run *runEntry, crash, resend bool) {
	e.mu.Lock()
	from := e.process
	e.mu.Unlock()
	id := run.id + "/" + strconv.Itoa(run.number)
	ctx, cancel := context.WithTimeout(r.Context(), childPatience)
	defer cancel()
	for i := range 2 {
		q := asking{
			id: id, sending: id + "." + strconv.Itoa(i), method: r.Method, address: e.place.host + portOutbound,
			target: "/deep", crash: crash, parent: r.Header.Get(call.HeaderCall),
		}
		a := e.history.ask(ctx, from, &q)
		if a.whole() || !resend {
			return
		}
		e.history.tally.add("endpoint-resend")
	}
}

// asking is one request of a caller or of an endpoint.
type asking struct {
	id, sending, method, address, target, key, parent string
	crash, fence                                      bool
}

func (q *asking) build(ctx context.Context) (*http.Request, error) {
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

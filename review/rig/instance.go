package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of the platform's pages.
const (
	headerID       = "X-Attempt-Id"
	headerDeadline = "X-Deadline-Remaining"
	headerTarget   = "X-Target-Instance"
	headerCaller   = "X-Caller-Service"
	headerSeal     = "X-Response-Seal"
)

// run is one request that an instance began to work on.
type run struct {
	id, instance, service string
	path, caller          string
	at                    time.Time
	completed             bool
}

// ledger holds every run of a case.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(one *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, one)
}

func (l *ledger) complete(one *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one.completed = true
}

// all returns copies of the runs so far.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, 0, len(l.runs))
	for _, one := range l.runs {
		out = append(out, *one)
	}
	return out
}

// instance plays an application instance.
type instance struct {
	id, service, address string
	record               *record
	ledger               *ledger
	work                 time.Duration
	// fatal tells which requests crash the instance when it begins to run them; nil for none.
	fatal func(r *http.Request, body []byte) bool

	mu     sync.Mutex
	server *http.Server
}

// start begins to serve.
func (i *instance) start() error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: i, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	i.mu.Lock()
	i.server = s
	i.mu.Unlock()
	go func() { _ = s.Serve(l) }() // ends with stop
	i.record.line("instance %s of %s serves", i.id, i.service)
	return nil
}

// stop ends the instance as a crash or an exit does: it closes the listener and all connections.
func (i *instance) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.server != nil {
		_ = i.server.Close() // nothing more is served
		i.server = nil
		i.record.line("instance %s of %s ended", i.id, i.service)
	}
}

// crash ends the instance and starts it again after a pause.
func (i *instance) crash(pause time.Duration) {
	i.stop()
	time.AfterFunc(pause, func() {
		if err := i.start(); err != nil {
			i.record.line("instance %s can't start again: %v", i.id, err)
		}
	})
}

// crashPause is the time after which a crashed instance is back.
const crashPause = 2 * time.Second

// ServeHTTP runs one request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	id := r.Header.Get(headerID)
	if id != "" {
		h.Set(headerID, id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender is gone
	}
	if target := r.Header.Get(headerTarget); target != "" && target != i.id {
		h.Set("X-Instance-Id", i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	one := &run{id: id, instance: i.id, service: i.service, path: r.URL.Path, caller: r.Header.Get(headerCaller), at: received}
	i.ledger.begin(one)
	i.record.line("run %s at %s of %s: %s %s, %d bytes, caller %s", id, i.id, i.service, r.Method, r.URL.Path, len(body), one.caller)
	if i.fatal != nil && i.fatal(r, body) {
		i.record.line("request %s crashes %s", id, i.id)
		i.crash(crashPause)
		return
	}
	h.Set(headerSeal, "rig."+id)
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil && time.Duration(ms)*time.Millisecond < i.work {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	select {
	case <-time.After(i.work):
		i.ledger.complete(one)
		_, _ = fmt.Fprintf(w, "%s of %s ran %s\n", i.id, i.service, id) // the sender may be gone
	case <-r.Context().Done(): // the connection was closed
	}
}

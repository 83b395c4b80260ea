package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform's pages.
const (
	headerAttempt  = "X-Attempt-Id"
	headerDeadline = "X-Deadline-Remaining"
	headerSeal     = "X-Response-Seal"
	headerTarget   = "X-Target-Instance"
	headerNotRun   = "X-Not-Executed"
	headerInstance = "X-Instance-Id"
)

// arrival is a request that an instance began to run.
type arrival struct {
	attempt string
	at      time.Time
	endedAt time.Time // zero while it runs
	broken  bool      // its connection ended before the answer
}

// instance is an application instance. It runs slots requests at once and sheds the rest.
type instance struct {
	id       string
	record   *record
	slots    int
	work     func(r *http.Request) time.Duration
	call     func(r *http.Request) bool // calls that a run makes at the end of its work; false if one failed
	listener net.Listener
	server   *http.Server
	running  atomic.Int64

	mu       sync.Mutex
	arrivals []*arrival
}

func startInstance(rec *record, id, address string, slots int) (*instance, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, record: rec, slots: slots, listener: listener, work: func(*http.Request) time.Duration { return 0 }}
	i.server = &http.Server{Handler: i, IdleTimeout: instanceIdleTimeout}
	go func() { _ = i.server.Serve(listener) }() // ends when the server is closed
	return i, nil
}

// instanceIdleTimeout is the time after which an instance closes an idle connection.
const instanceIdleTimeout = 10 * time.Second

// ServeHTTP runs a request, as the pages say.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	w.Header().Set(headerAttempt, attempt)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(instanceIdleTimeout.Seconds())))
	if target := r.Header.Get(headerTarget); target != "" && target != i.id {
		w.Header().Set(headerInstance, i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the node broke the request off before it was whole
	}
	if i.running.Add(1) > int64(i.slots) {
		i.running.Add(-1)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	i.runRequest(w, r, attempt)
}

func (i *instance) runRequest(w http.ResponseWriter, r *http.Request, attempt string) {
	one := &arrival{attempt: attempt, at: time.Now()}
	i.mu.Lock()
	i.arrivals = append(i.arrivals, one)
	i.mu.Unlock()
	i.record.logf("instance %s runs %s", i.id, attempt)
	timer := time.NewTimer(i.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		i.end(one, true)
		return
	}
	if i.call != nil && !i.call(r) {
		i.end(one, r.Context().Err() != nil)
		w.Header().Set(headerSeal, sealOf(attempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	i.end(one, false)
	w.Header().Set(headerSeal, sealOf(attempt))
	_, _ = io.WriteString(w, bodyOf(attempt)) // a lost answer is seen by the client
}

func (i *instance) end(one *arrival, broken bool) {
	i.mu.Lock()
	one.endedAt, one.broken = time.Now(), broken
	i.mu.Unlock()
	if broken {
		i.record.logf("instance %s: the connection of %s ended while it ran", i.id, one.attempt)
	}
}

// arrived returns a copy of the requests that the instance began to run.
func (i *instance) arrived() []arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]arrival, 0, len(i.arrivals))
	for _, one := range i.arrivals {
		out = append(out, *one)
	}
	return out
}

// exit ends the instance: what it still runs is broken off.
func (i *instance) exit() {
	_ = i.server.Close() // the instance is gone either way
}

// sealOf returns the seal of the answer to an attempt.
func sealOf(attempt string) string { return "seal." + attempt }

// bodyOf returns the body of the answer to an attempt.
func bodyOf(attempt string) string { return "the answer to " + attempt + "\n" }

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// workHeader is a header of the clients of the cases, which nodes pass on: how long the request
// takes at an instance, in milliseconds.
const workHeader = "X-Work-Ms"

// queuePerSlot is how many requests wait at an instance for each slot.
const queuePerSlot = 2

// arrival is a request at an instance.
type arrival struct {
	id, path string
	instance string
	at       time.Time // when it reached the instance
	ended    time.Time // when the instance stopped working on it
	status   int       // 0 if the connection closed before the answer
	notRun   bool
}

// instance stands in for an application instance.
type instance struct {
	fleet   *fleet
	machine *machine
	id      string
	slots   int

	mu       sync.Mutex
	server   *http.Server
	born     int64
	sequence int
	running  chan struct{}
	arrivals []*arrival
}

// key is the instance's key in the store.
func (i *instance) key() string { return "servers/" + i.id }

// entry returns what the instance writes to the store.
func (i *instance) entry(state string) []byte {
	i.sequence++
	data, _ := json.Marshal(map[string]any{ // every value can be encoded
		"address":   i.machine.ip + ":" + portInstance,
		"node_info": map[string]any{"service": i.machine.service, "config_version": "v1", "zone": i.machine.zone, "slots": i.slots},
		"status":    map[string]any{"state": state, "sequence": i.sequence, "warmup_left": "0ms"},
		"born":      i.born,
	})
	return data
}

// start starts the instance and registers it.
func (i *instance) start() error {
	l, err := net.Listen("tcp", i.machine.ip+":"+portInstance)
	if err != nil {
		return errors.Wrap(err, "the instance's address")
	}
	i.born = time.Now().UnixMilli()
	i.running = make(chan struct{}, i.slots*(1+queuePerSlot))
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }() // until it exits
	i.fleet.store.put(i.key(), i.entry("ready"))
	return nil
}

// drain reports that the instance is leaving, and returns when the store has acknowledged that.
func (i *instance) drain() time.Time { return i.fleet.store.put(i.key(), i.entry("draining")) }

// leave removes the entry, as an instance does that never reports draining or that has left, and
// returns when the store has acknowledged that.
func (i *instance) leave() time.Time { return i.fleet.store.remove(i.key()) }

// exit ends the instance.
func (i *instance) exit() {
	if i.server != nil {
		_ = i.server.Close()
	}
}

// ServeHTTP runs a request.
func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/healthcheck" {
		w.Header().Set("X-Instance-Id", i.id)
		return
	}
	a := &arrival{id: r.Header.Get("X-Attempt-Id"), path: r.URL.Path, instance: i.id, at: time.Now()}
	w.Header().Set("X-Attempt-Id", a.id)
	i.mu.Lock()
	i.arrivals = append(i.arrivals, a)
	i.mu.Unlock()
	status, run := i.work(r)
	i.mu.Lock()
	a.ended, a.status, a.notRun = time.Now(), status, !run
	i.mu.Unlock()
	switch {
	case status == 0:
		return // the caller has left
	case !run:
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", i.id)
		w.WriteHeader(status)
	default:
		w.Header().Set("X-Response-Seal", "seal."+a.id)
		w.WriteHeader(status)
		_, _ = fmt.Fprintf(w, "%s ran %s\n", i.id, a.id) // the caller may have left
	}
}

// work runs a request. It returns 0 if the connection closes before its end.
func (i *instance) work(r *http.Request) (status int, run bool) {
	remaining, err := strconv.Atoi(r.Header.Get("X-Deadline-Remaining"))
	work, workErr := strconv.Atoi(r.Header.Get(workHeader))
	switch {
	case err != nil, workErr != nil, r.Header.Get("X-Attempt-Id") == "":
		return http.StatusBadRequest, false
	case r.Header.Get("X-Target-Instance") != i.id:
		return http.StatusMisdirectedRequest, false
	}
	select {
	case i.running <- struct{}{}:
	default:
		return http.StatusServiceUnavailable, false
	}
	defer func() { <-i.running }()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
	defer cancel()
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
		return http.StatusOK, true
	case <-ctx.Done():
		if r.Context().Err() != nil {
			return 0, true
		}
		return http.StatusGatewayTimeout, true
	}
}

// all returns the requests that have reached the instance.
func (i *instance) all() []arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]arrival, 0, len(i.arrivals))
	for _, a := range i.arrivals {
		out = append(out, *a)
	}
	return out
}

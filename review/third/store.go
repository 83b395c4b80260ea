package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// rangeItemsMax is the number of items of one page.
const rangeItemsMax = 500

// item is one item of the store, or an event that deletes it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store. Each machine has an address of its own for it, so that
// the store knows who calls.
type store struct {
	fleet *fleet

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed at the next change
	servers  map[*machine]*http.Server
	watches  map[*machine]time.Time // when a machine last began a watch
	answers  map[*machine]time.Time // when a machine last got an answer
}

func newStore(f *fleet) *store {
	return &store{
		fleet: f, revision: 100, items: make(map[string]item), changed: make(chan struct{}),
		servers: make(map[*machine]*http.Server), watches: make(map[*machine]time.Time), answers: make(map[*machine]time.Time),
	}
}

// address is where a machine reaches the store.
func (s *store) address(m *machine) string {
	return m.ip + ":" + portStore
}

// listen serves a machine.
func (s *store) listen(m *machine) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[m] != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address(m))
	if err != nil {
		return errors.Wrap(err, "the store's address")
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(m, w, r) })}
	s.servers[m] = server
	go func() { _ = server.Serve(l) }() // until it is closed
	return nil
}

// refuse ends a machine's connections and refuses further ones, until listen is called.
func (s *store) refuse(m *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[m] != nil {
		_ = s.servers[m].Close()
		delete(s.servers, m)
	}
}

// resetAll ends a machine's connections and resets further ones, until the returned function is
// called. It sends on attempts at each of these.
func (s *store) resetAll(m *machine) (attempts <-chan struct{}, end func(), err error) {
	s.refuse(m)
	l, err := net.Listen("tcp", s.address(m))
	if err != nil {
		return nil, nil, errors.Wrap(err, "the store's address")
	}
	seen := make(chan struct{}, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // it was closed
			}
			reset(c)
			select {
			case seen <- struct{}{}:
			default:
			}
		}
	}()
	return seen, func() { _ = l.Close() }, nil
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes an item and returns when the store has acknowledged it.
func (s *store) put(key string, value []byte) time.Time {
	return s.change(item{Key: key, Value: value})
}

// remove removes an item and returns when the store has acknowledged that.
func (s *store) remove(key string) time.Time {
	return s.change(item{Key: key, Deleted: true})
}

func (s *store) change(one item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	one.Rev = s.revision
	if one.Deleted {
		delete(s.items, one.Key)
	} else {
		one.Created = one.Rev
		if before, ok := s.items[one.Key]; ok {
			one.Created = before.Created
		}
		s.items[one.Key] = one
	}
	s.history = append(s.history, one)
	close(s.changed)
	s.changed = make(chan struct{})
	s.fleet.log("store: revision %d, %s, deleted %t: %s", one.Rev, one.Key, one.Deleted, one.Value)
	return time.Now()
}

// reads reports whether a machine has begun a watch within the last three seconds.
func (s *store) reads(m *machine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.watches[m]) < 3*time.Second
}

// sinceAnswer returns the time since a machine last got an answer.
func (s *store) sinceAnswer(m *machine) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.answers[m])
}

func (s *store) serve(m *machine, w http.ResponseWriter, r *http.Request) {
	defer func() {
		s.mu.Lock()
		s.answers[m] = time.Now()
		s.mu.Unlock()
	}()
	query := r.URL.Query()
	if r.URL.Path == "/kv-range" {
		s.fleet.log("store: %s lists %s", m.name, query.Get("prefix"))
	}
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, errWait := strconv.Atoi(query.Get("wait_ms"))
		if errAfter != nil || errWait != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.watches[m] = time.Now()
		s.mu.Unlock()
		s.serveWatch(w, r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	one, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{one, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var page struct {
		Items         []item `json:"items"`
		More          bool   `json:"has_more"`
		StoreRevision uint64 `json:"store_revision"`
	}
	page.Items, page.StoreRevision = []item{}, s.revision
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, one)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > rangeItemsMax {
		page.Items, page.More = page.Items[:rangeItemsMax], true
	}
	respond(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	for {
		s.mu.Lock()
		var answer struct {
			Events        []item `json:"events"`
			StoreRevision uint64 `json:"store_revision"`
		}
		answer.Events, answer.StoreRevision = []item{}, s.revision
		for _, one := range s.history {
			if one.Rev > after && strings.HasPrefix(one.Key, prefix) {
				answer.Events = append(answer.Events, one)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Events) > 0 || ctx.Err() != nil {
			respond(w, answer)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store, or the event of its removal.
type storeItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store: linearizable, never down, with a whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // closed at each change
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// put writes an item. Its return is the acknowledgement.
func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if before, exists := s.items[key]; exists {
		created = before.Created
	}
	one := storeItem{Key: key, Value: []byte(value), Rev: s.revision, Created: created}
	s.items[key] = one
	s.history = append(s.history, one)
	s.notify()
}

// remove deletes an item. Its return is the acknowledgement.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Rev: s.revision, Deleted: true})
	s.notify()
}

// notify wakes the watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the store's protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-key":
		s.serveKey(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	one, exists := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !exists {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, struct {
		storeItem
		Revision uint64 `json:"store_revision"`
	}{one, revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, one)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64) // 0 if it is missing
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		events, revision, changed := s.eventsSince(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsSince(prefix string, after uint64) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, one := range s.history {
		if one.Rev > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return events, s.revision, s.changed
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the caller notices a lost answer
}

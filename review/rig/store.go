package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the largest number of items of one answer.
const pageItems = 500

// item is one entry of the platform's store, or a change of one.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store plays the platform's metadata store. It acknowledges a change when write or remove returns.
type store struct {
	record *record
	server *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed at each change
	conns    []*mutableConn
}

// startStore serves a store at an address.
func startStore(r *record, address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{record: r, revision: 7, items: make(map[string]item), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(&mutableListener{Listener: l, store: s}) }() // ends with end
	return s, nil
}

func (s *store) end() {
	_ = s.server.Close() // ends the listener and all connections
}

// write acknowledges a new value of a key.
func (s *store) write(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the rig writes only plain values
	}
	s.change(item{Key: key, Value: data})
}

// remove acknowledges the removal of a key.
func (s *store) remove(key string) {
	s.change(item{Key: key, Deleted: true})
}

func (s *store) change(one item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	one.Rev, one.Created = s.revision, s.revision
	if before, known := s.items[one.Key]; known {
		one.Created = before.Created
	}
	if one.Deleted {
		delete(s.items, one.Key)
	} else {
		s.items[one.Key] = one
	}
	s.history = append(s.history, one)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.line("store acknowledged revision %d: %s deleted=%v", one.Rev, one.Key, one.Deleted)
}

// silence makes all open connections silent for good, without a reset. New ones work.
func (s *store) silence() (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.closed.Load() && !c.silent.Swap(true) {
			count++
		}
	}
	return count
}

// ServeHTTP answers reads and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		_ = json.NewEncoder(w).Encode(s.list(query.Get("prefix"), query.Get("after"))) // the reader may be gone
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		events, revision := s.watch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": revision}) // as above
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	return map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "store_revision": s.revision}
}

// watch waits for events below a prefix after a revision.
func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) ([]item, uint64) {
	timeout := time.After(wait)
	for {
		events, revision, changed := s.eventsAfter(prefix, after)
		if len(events) > 0 {
			return events, revision
		}
		select {
		case <-changed:
		case <-timeout:
			return events, revision
		case <-r.Context().Done():
			return events, revision
		}
	}
}

func (s *store) eventsAfter(prefix string, after uint64) ([]item, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []item{}
	for _, one := range s.history {
		if one.Rev > after && strings.HasPrefix(one.Key, prefix) {
			events = append(events, one)
		}
	}
	return events, s.revision, s.changed
}

// mutableListener accepts connections that can be made silent.
type mutableListener struct {
	net.Listener
	store *store
}

// Accept returns the next connection.
func (l *mutableListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &mutableConn{Conn: raw}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.store.conns = append(l.store.conns, c)
	return c, nil
}

// mutableConn is a connection that can be made silent: nothing arrives at either side any more.
type mutableConn struct {
	net.Conn
	silent atomic.Bool
	closed atomic.Bool
}

// Read drops what arrives on a silent connection.
func (c *mutableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write drops what is sent on a silent connection.
func (c *mutableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *mutableConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

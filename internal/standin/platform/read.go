package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Headers of the key service.
const (
	// HeaderRevision carries the revision of the newest write.
	HeaderRevision = "Platform-Revision"
	// HeaderKeyRevision carries the revision at which the key last changed.
	HeaderKeyRevision = "Platform-Key-Revision"
)

// MaxWait is the longest that a watch may wait.
const MaxWait = 5 * time.Minute

// query is a parsed read.
type query struct {
	key   string
	watch bool
	after uint64
	wait  time.Duration
}

func parseQuery(r *http.Request) (query, error) {
	q := query{key: r.PathValue("key")}
	values := r.URL.Query()
	if !values.Has("after") {
		return q, nil
	}
	q.watch = true
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	if err != nil {
		return q, errors.Errorf("after: want a revision, have %q", values.Get("after"))
	}
	q.after = after
	waitMs, err := strconv.ParseUint(values.Get("waitMs"), 10, 32)
	if err != nil || time.Duration(waitMs)*time.Millisecond > MaxWait {
		return q, errors.Errorf("waitMs: want 0 to %d, have %q", MaxWait.Milliseconds(), values.Get("waitMs"))
	}
	q.wait = time.Duration(waitMs) * time.Millisecond
	return q, nil
}

// serveKey answers a read or a watch.
func (p *Platform) serveKey(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if !p.count(q.key) {
		http.Error(w, "over the limit of reads", http.StatusTooManyRequests)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.watch {
		p.watch(w, r, q)
		return
	}
	view := p.store.View()
	if view.Mode == ModeDown {
		refuseDown(w, view.ClosesConnections)
		return
	}
	writeKey(w, view.State, q.key)
}

// refuseDown answers 503, or closes the connection without an answer.
func refuseDown(w http.ResponseWriter, closes bool) {
	if closes {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "the platform is down", http.StatusServiceUnavailable)
}

func writeKey(w http.ResponseWriter, s *State, key string) {
	e, ok := s.Get(key)
	setRevisions(w, s, e)
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Value)))
	_, _ = w.Write(e.Value) // the reader may be gone
}

func writeUnchanged(w http.ResponseWriter, s *State, key string) {
	e, ok := s.Get(key)
	setRevisions(w, s, e)
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func setRevisions(w http.ResponseWriter, s *State, e Entry) {
	w.Header().Set(HeaderRevision, strconv.FormatUint(s.Revision, 10))
	if e.Revision > 0 {
		w.Header().Set(HeaderKeyRevision, strconv.FormatUint(e.Revision, 10))
	}
}

package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Headers of the key service.
const (
	// HeaderRevision carries the revision of the latest write.
	HeaderRevision = "Platform-Revision"
	// HeaderKeyRevision carries the revision of the last write of the key.
	HeaderKeyRevision = "Platform-Key-Revision"
)

// MaxWait is the maximum wait of a watch.
const MaxWait = 5 * time.Minute

// query is a parsed read or watch.
type query struct {
	key   string
	watch bool
	after uint64        // the revision that the reader of a watch has
	wait  time.Duration // the maximum wait of a watch
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

// serveKey serves a read or a watch of a key.
func (p *Platform) serveKey(w http.ResponseWriter, r *http.Request) {
	q, err := parseQuery(r)
	if !p.admit(q.key) {
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

// refuseDown responds with status 503, or aborts the connection without a response.
func refuseDown(w http.ResponseWriter, closeConnection bool) {
	if closeConnection {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "the platform is down", http.StatusServiceUnavailable)
}

// writeKey writes the value of a key, or status 404 if the key is absent.
func writeKey(w http.ResponseWriter, s *State, key string) {
	e, ok := s.Get(key)
	setRevisions(w, s, e)
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Value)))
	_, _ = w.Write(e.Value) // the reader may have disconnected
}

// writeUnchanged writes status 304, or 404 if the key is absent.
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

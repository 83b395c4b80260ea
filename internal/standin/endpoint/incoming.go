package endpoint

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// Headers that the endpoint reads and forwards to its child calls.
const (
	// HeaderRequest identifies the root request.
	HeaderRequest = "X-Request-Id"
	// HeaderAttempt is the number of the caller's attempt.
	HeaderAttempt = "X-Attempt"
	// HeaderCrash crashes every endpoint ("1") or the endpoints of one service (its
	// name).
	HeaderCrash = "X-Crash"
)

// Query parameters of child calls. They distinguish the calls of a call tree.
const (
	queryRequest  = "request"
	queryPosition = "call"
)

const maxBodyBytes = 64 << 20

// incoming is a received call.
type incoming struct {
	route    *Route
	record   truth.Record // the fields common to all records of the call
	crash    string
	body     []byte
	target   string // path and query
	deadline time.Time
}

// readIncoming reads a call with its body. now is the arrival time.
func (e *Endpoint) readIncoming(w http.ResponseWriter, r *http.Request, now time.Time) (*incoming, error) {
	in := &incoming{
		route: e.routeFor(r.Method, r.URL.Path),
		record: truth.Record{
			Method:   r.Method,
			Path:     r.URL.Path,
			Position: r.URL.Query().Get(queryPosition),
			Request:  r.Header.Get(HeaderRequest),
			Attempt:  r.Header.Get(HeaderAttempt),
			Call:     r.Header.Get(call.HeaderCall),
		},
		crash:  r.Header.Get(HeaderCrash),
		target: r.URL.RequestURI(),
	}
	if text := r.Header.Get(call.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, errors.Errorf("%s: want milliseconds, have %q", call.HeaderTimeout, text)
		}
		in.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	in.body = body
	return in, nil
}

// routeFor returns the route with the longest matching path, or nil.
func (e *Endpoint) routeFor(method, path string) *Route {
	var longest *Route
	for i := range e.settings.Routes {
		r := &e.settings.Routes[i]
		if r.Method != "" && r.Method != method {
			continue
		}
		if !matchesPrefix(r.Path, path) {
			continue
		}
		if longest == nil || len(r.Path) > len(longest.Path) {
			longest = r
		}
	}
	return longest
}

// matchesPrefix reports whether path equals prefix or is below it, in whole path
// segments.
func matchesPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	if len(path) == len(prefix) || strings.HasSuffix(prefix, "/") {
		return true
	}
	return path[len(prefix)] == '/'
}

// context returns the context of the call, with the deadline of its timeout header
// unless cancellation is ignored.
func (in *incoming) context(ctx context.Context, ignoreCancellation bool) (context.Context, context.CancelFunc) {
	if ignoreCancellation {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	if in.deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, in.deadline)
}

// crashes reports whether the call crashes the process.
func (e *Endpoint) crashes(in *incoming) bool {
	if in.crash == "1" || in.crash == e.settings.Service {
		return true
	}
	c := e.settings.Crash
	if c.PathContains != "" && strings.Contains(in.target, c.PathContains) {
		return true
	}
	return c.BodyContains != "" && bytes.Contains(in.body, []byte(c.BodyContains))
}

// bodyHash returns the xxHash64 of the body, in hexadecimal.
func (in *incoming) bodyHash() string {
	return fmt.Sprintf("%016x", xxhash.Sum64(in.body))
}

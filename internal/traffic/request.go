package traffic

import (
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/problem"
)

// request is a call's content, buffered completely so that it can be resent.
type request struct {
	method      string
	target      string // path and query, as the caller wrote them
	path        string
	header      http.Header
	body        []byte
	fingerprint uint64
}

// readRequest reads a complete request. target is its path and query.
func readRequest(r *http.Request, method, target, path string, bodyLimit int64) (*request, *problem.Error) {
	body, err := readBody(r, bodyLimit)
	if err != nil {
		return nil, err
	}
	q := &request{
		method: method,
		target: target,
		path:   path,
		header: endToEnd(r.Header),
		body:   body,
	}
	q.fingerprint = fingerprint(q)
	return q, nil
}

func readBody(r *http.Request, limit int64) ([]byte, *problem.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, problem.New(problem.KindBadCall, problem.NotExecuted, "the body ended early: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, problem.New(problem.KindBodyTooLarge, problem.NotExecuted, "the body is over %d bytes", limit)
	}
	return body, nil
}

// fingerprint identifies a request by its content.
func fingerprint(q *request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(q.method) // a hash never fails to write
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(q.target)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// endToEnd returns the headers that are forwarded with a message. Headers that only
// nodes may set are dropped, so that no other sender can forge them.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, call.HeaderPrefix) {
			out[name] = values
		}
	}
	message.DropHopByHop(out)
	return out
}

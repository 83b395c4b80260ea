package traffic

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
)

// bufferBytes is the part of an answer that a node reads before it passes the
// answer on. An answer that breaks inside this part can still be replaced.
const bufferBytes = 256 << 10

// answer is what a call came to: an endpoint's own answer or a problem.
type answer struct {
	problem  *problem.Error
	status   int
	header   http.Header
	body     []byte              // all of the body, or its first part
	rest     io.ReadCloser       // the rest of the body, or nil
	response *http.Response      // the message that brought the answer, or nil
	declared int64               // Content-Length of an answer to HEAD
	retries  int                 // unspent part of the retry budget
	losses   []call.EndpointLoss // endpoints lost to calls of the same root request
	doubt    bool                // a call below may have broken an endpoint
}

// failed returns an answer that is a problem.
func failed(e *problem.Error) *answer {
	return &answer{problem: e}
}

// whole reports whether the body is held whole.
func (a *answer) whole() bool {
	return a.rest == nil
}

// bytes counts the answer's own content, headers included. That of a problem is
// nothing.
func (a *answer) bytes() int64 {
	total := len(a.body)
	for name, values := range a.header {
		total += len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return int64(total)
}

// trailer returns the endpoint's trailers. They are there once the body was
// read to its end.
func (a *answer) trailer() http.Header {
	if a.response == nil {
		return nil
	}
	return endpointTrailer(a.response.Trailer)
}

// close gives up the rest of the body.
func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close() // nothing more is read from it
	}
}

// take reads the first part of a body into a. limit bounds the part.
func (a *answer) take(body io.ReadCloser, limit int64) error {
	first, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		_ = body.Close() // the read error says more
		return errors.Wrap(err, "read answer")
	}
	a.body = first
	if int64(len(first)) == limit {
		a.rest = body
		return nil
	}
	return errors.Wrap(body.Close(), "close answer")
}

// onClose calls f once the body was read to its end or given up. For an answer
// that is held whole that is at once.
func (a *answer) onClose(f func()) *answer {
	if a.rest == nil {
		f()
		return a
	}
	a.rest = &notifying{ReadCloser: a.rest, f: f}
	return a
}

// notifying is a body that tells when it is closed.
type notifying struct {
	io.ReadCloser
	f func()
}

// Close closes the body and tells.
func (n *notifying) Close() error {
	err := n.ReadCloser.Close()
	n.f()
	return err
}

// copyHeaders puts the endpoint's headers into h.
func (a *answer) copyHeaders(h http.Header) {
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
}

// writeToCaller sends the answer. An answer that breaks on the way ends the
// connection, so that it can't be taken for a whole one.
func (a *answer) writeToCaller(w http.ResponseWriter, method string) {
	a.copyHeaders(w.Header())
	switch {
	case method == http.MethodHead && a.declared > 0:
		w.Header().Set("Content-Length", strconv.FormatInt(a.declared, 10))
	case a.whole() && len(a.trailer()) == 0 && hasBody(a.status):
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if err := a.writeBody(w); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range a.trailer() {
		w.Header()[http.TrailerPrefix+name] = values
	}
}

// writeBody copies the whole body to w.
func (a *answer) writeBody(w io.Writer) error {
	if _, err := io.Copy(w, bytes.NewReader(a.body)); err != nil {
		a.close()
		return errors.Wrap(err, "write answer")
	}
	if a.rest == nil {
		return nil
	}
	_, err := io.Copy(flushing{w}, a.rest)
	closeErr := a.rest.Close()
	if err != nil {
		return errors.Wrap(err, "copy answer")
	}
	return errors.Wrap(closeErr, "end of answer")
}

// flushing sends each piece of a streamed answer on at once.
type flushing struct {
	w io.Writer
}

// Write writes and flushes.
func (f flushing) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if flusher, ok := f.w.(http.Flusher); ok {
		flusher.Flush()
	}
	return n, err
}

// hasBody reports whether an answer of this status may have a body.
func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified && status >= http.StatusOK
}

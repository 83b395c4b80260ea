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

// answerBufferBytes is the part of an answer that a node buffers before it starts
// to forward it. An answer that is cut off within this part can still be replaced.
const answerBufferBytes = 256 << 10

// answer is the result of a call: the endpoint's answer or a problem.
type answer struct {
	problem        *problem.Error
	status         int
	header         http.Header
	body           []byte              // the complete body, or its first part
	rest           io.ReadCloser       // the rest of the body, or nil
	response       *http.Response      // the HTTP response that carried the answer, or nil
	declaredLength int64               // Content-Length of an answer to HEAD
	unspentRetries int                 // unspent part of the retry budget passed with the call
	losses         []call.EndpointLoss // endpoint losses caused by calls of the same root request
	possibleCrash  bool                // a downstream call may have crashed an endpoint
}

// problemAnswer returns an answer that consists of a problem.
func problemAnswer(e *problem.Error) *answer {
	return &answer{problem: e}
}

// isComplete reports whether the complete body is in memory.
func (a *answer) isComplete() bool {
	return a.rest == nil
}

// sizeBytes returns the size of headers and body. It is 0 for a problem.
func (a *answer) sizeBytes() int64 {
	total := len(a.body)
	for name, values := range a.header {
		total += len(name)
		for _, value := range values {
			total += len(value)
		}
	}
	return int64(total)
}

// trailer returns the endpoint's trailers. They are available once the body has
// been read to its end.
func (a *answer) trailer() http.Header {
	if a.response == nil {
		return nil
	}
	return endpointTrailer(a.response.Trailer)
}

// close discards the rest of the body.
func (a *answer) close() {
	if a.rest != nil {
		_ = a.rest.Close() // the rest is discarded
	}
}

// readFirstPart reads up to limit bytes of a body into a and keeps the rest for
// streaming.
func (a *answer) readFirstPart(body io.ReadCloser, limit int64) error {
	first, err := io.ReadAll(io.LimitReader(body, limit))
	if err != nil {
		_ = body.Close() // the read error is reported instead
		return errors.Wrap(err, "read answer")
	}
	a.body = first
	if int64(len(first)) == limit {
		a.rest = body
		return nil
	}
	return errors.Wrap(body.Close(), "close answer")
}

// onClose calls notify once the body has been read or discarded, and at once for a
// complete answer.
func (a *answer) onClose(notify func()) *answer {
	if a.rest == nil {
		notify()
		return a
	}
	a.rest = &closeNotifier{ReadCloser: a.rest, notify: notify}
	return a
}

// closeNotifier is a body that calls notify when it is closed.
type closeNotifier struct {
	io.ReadCloser
	notify func()
}

// Close closes the body and calls notify.
func (n *closeNotifier) Close() error {
	err := n.ReadCloser.Close()
	n.notify()
	return err
}

// copyHeaders copies the endpoint's end-to-end headers into h.
func (a *answer) copyHeaders(h http.Header) {
	for name, values := range endToEnd(a.header) {
		h[name] = values
	}
}

// writeToCaller sends the answer. When its body is cut off, the connection is
// aborted, so that the caller can't mistake it for a complete one.
func (a *answer) writeToCaller(w http.ResponseWriter, method string) {
	a.copyHeaders(w.Header())
	switch {
	case method == http.MethodHead && a.declaredLength > 0:
		w.Header().Set("Content-Length", strconv.FormatInt(a.declaredLength, 10))
	case a.isComplete() && len(a.trailer()) == 0 && hasBody(a.status):
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

// writeBody copies the complete body to w.
func (a *answer) writeBody(w io.Writer) error {
	if _, err := io.Copy(w, bytes.NewReader(a.body)); err != nil {
		a.close()
		return errors.Wrap(err, "write answer")
	}
	if a.rest == nil {
		return nil
	}
	_, err := io.Copy(flushWriter{w}, a.rest)
	closeErr := a.rest.Close()
	if err != nil {
		return errors.Wrap(err, "copy answer")
	}
	return errors.Wrap(closeErr, "end of answer")
}

// flushWriter flushes each write of a streamed answer.
type flushWriter struct {
	w io.Writer
}

// Write writes p and flushes.
func (f flushWriter) Write(p []byte) (int, error) {
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

// Package message holds requests and answers as they travel through a node,
// read whole, so that they can be sent again and handed on only when complete.
package message

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Request is a request of a client or of an endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is path and query, as they were sent.
	Target string
	// Host is the host that was asked for.
	Host string
	// Header holds the headers that travel on.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Path returns the path of the target, without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a whole answer.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers that travel on.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// ErrorResponse returns an answer of the node's own.
func ErrorResponse(status int, reason string) *Response {
	return &Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   []byte(reason + "\n"),
	}
}

// WithRetryAfter tells the client when to come back.
func (a *Response) WithRetryAfter(wait time.Duration) *Response {
	a.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return a
}

// Headers names the headers that a deployment uses beside the standard ones.
type Headers struct {
	// RequestID identifies one attempt of a client; answers repeat it.
	RequestID string
	// RemainingMs is the time that the sender will wait, in milliseconds.
	RemainingMs string
	// ResponseSeal is the endpoint's proof that an answer is its own.
	ResponseSeal string
	// ExpectEndpoint names the run of the endpoint that is to run the request.
	ExpectEndpoint string
	// NotStarted on an answer proves that the endpoint did not run the request.
	NotStarted string
	// CallerService names the service of the VM where the request began.
	CallerService string
}

// hopByHop lists the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// DropHopByHop removes the headers that concern one connection only.
func DropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// Package message holds the requests and responses that a node forwards. Bodies are
// buffered, so that a request can be resent and only complete responses are
// forwarded.
package message

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/galenacart/galenacart/internal/memory"
)

// Request is a request of a client or of an endpoint.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query, as received.
	Target string
	// Host is the requested host.
	Host string
	// Header holds the headers to forward.
	Header http.Header
	// Body is the complete body.
	Body Body
	// Memory is what the request and its answer are charged to. It may be nil.
	Memory *memory.Lease
}

// Path returns the path of the target, without the query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// Response is a complete response.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the headers to forward.
	Header http.Header
	// Body is the complete body.
	Body Body
}

// ErrorResponse returns a plain-text response that the node generates itself.
func ErrorResponse(status int, reason string) *Response {
	return &Response{
		Status: status,
		Header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}},
		Body:   NewBody([]byte(reason + "\n")),
	}
}

// WithRetryAfter sets the Retry-After header, in seconds, and returns the response.
func (r *Response) WithRetryAfter(wait time.Duration) *Response {
	r.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	return r
}

// Headers holds the names of the headers that a deployment uses besides the standard ones.
type Headers struct {
	// RequestID identifies one attempt of a client; responses repeat it.
	RequestID string
	// RemainingMs is the sender's remaining time until its deadline, in milliseconds.
	RemainingMs string
	// ResponseSeal is set by the endpoint to mark a response as its own.
	ResponseSeal string
	// ExpectEndpoint identifies the endpoint process that the request is meant for.
	ExpectEndpoint string
	// NotStarted marks a response to a request that the endpoint did not run.
	NotStarted string
	// CallerService names the service of the VM from which the request originates.
	CallerService string
	// RateLimit is set by an endpoint in need to the calls a second that it takes.
	RateLimit string
	// EndpointLeaving is set to LeavingValue by an endpoint that is leaving.
	EndpointLeaving string
}

// LeavingValue is the value of the header EndpointLeaving.
const LeavingValue = "1"

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// DropHopByHop removes the headers that apply to a single connection.
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

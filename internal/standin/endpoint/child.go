package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/standin/answer"
)

const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 256
	maxDetailBytes      = 512
)

// childCall is a child call of a running call.
type childCall struct {
	child    *Child
	in       *incoming
	position string
}

// childBody is the body of a child call. It makes the calls of different requests
// differ in content.
type childBody struct {
	Request  string `json:"request"`
	Position string `json:"call"`
}

// childError is the error of a child call after its last attempt.
type childError struct {
	child  *Child
	status int // HTTP status of the last response; 0 for none
	cause  error
}

// Error returns the method and path of the child call and the cause.
func (c *childError) Error() string {
	return fmt.Sprintf("%s %s: %v", c.child.Method, c.child.Path, c.cause)
}

// Unwrap returns the cause.
func (c *childError) Unwrap() error {
	return c.cause
}

// childCalls returns the child calls of a call, including repetitions.
func childCalls(in *incoming) []childCall {
	var calls []childCall
	for i := range in.route.Children {
		child := &in.route.Children[i]
		for range child.Repeat {
			position := strconv.Itoa(len(calls))
			if in.record.Position != "" {
				position = in.record.Position + "." + position
			}
			calls = append(calls, childCall{child: child, in: in, position: position})
		}
	}
	return calls
}

// newClient returns the HTTP client for child calls. A nil dial selects the default
// dialer.
func newClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// callChild makes a child call with up to Downstream.Tries attempts.
func (e *Endpoint) callChild(ctx context.Context, c *childCall) (*answer.Response, error) {
	callErr := &childError{child: c.child}
	for range e.settings.Downstream.Tries {
		result, status, err := e.tryChild(ctx, c)
		if err == nil {
			return result, nil
		}
		callErr.status, callErr.cause = status, err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, callErr
}

// tryChild makes one attempt. It returns the HTTP status of the response, or 0 for
// none.
func (e *Endpoint) tryChild(ctx context.Context, c *childCall) (*answer.Response, int, error) {
	if timeout := e.settings.Downstream.TryTimeout(); timeout > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = timeoutCtx
	}
	r, err := e.childRequest(ctx, c)
	if err != nil {
		return nil, 0, err
	}
	response, err := e.client.Do(r)
	if err != nil {
		return nil, 0, errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }() // already read, or abandoned after an error
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, response.StatusCode, errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		detail := string(body[:min(len(body), maxDetailBytes)])
		return nil, response.StatusCode, errors.Errorf("status %d: %s", response.StatusCode, detail)
	}
	result, err := answer.Decode(body, c.in.record.Request)
	return result, response.StatusCode, err
}

// childRequest returns the HTTP request of one attempt.
func (e *Endpoint) childRequest(ctx context.Context, c *childCall) (*http.Request, error) {
	target := url.URL{
		Scheme: "http",
		Host:   e.childHost(c.child.Service),
		Path:   c.child.Path,
		RawQuery: url.Values{
			queryRequest:  {c.in.record.Request},
			queryPosition: {c.position},
		}.Encode(),
	}
	var body []byte
	if c.child.Method != http.MethodGet {
		encoded, err := json.Marshal(childBody{Request: c.in.record.Request, Position: c.position})
		if err != nil {
			return nil, errors.Wrap(err, "encode child body")
		}
		body = encoded
	}
	r, err := http.NewRequestWithContext(ctx, c.child.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "child request")
	}
	c.setHeaders(r.Header)
	if e.settings.Downstream.RoutingMode == RoutingModeNode {
		r.Header.Set(call.HeaderParent, c.in.record.Call)
	}
	return r, nil
}

// setHeaders copies the headers that are forwarded from the running call.
func (c *childCall) setHeaders(h http.Header) {
	setHeader(h, HeaderRequest, c.in.record.Request)
	setHeader(h, HeaderAttempt, c.in.record.Attempt)
	setHeader(h, HeaderCrash, c.in.crash)
}

// setHeader sets a header unless value is empty.
func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// childHost selects the target of an attempt: the local node, or a random endpoint
// of the service.
func (e *Endpoint) childHost(service string) string {
	d := &e.settings.Downstream
	if d.RoutingMode == RoutingModeNode {
		return d.OutboundAddress
	}
	for _, s := range d.Endpoints {
		if s.Service == service {
			return s.Addresses[e.sampler.intN(len(s.Addresses))]
		}
	}
	return ""
}

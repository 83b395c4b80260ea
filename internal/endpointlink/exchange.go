package endpointlink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/message"
)

// skippedBytesMax bounds the body of an answer to another request that is passed over.
const skippedBytesMax = 64 << 20

// foreignMax bounds the answers to other requests that are passed over.
const foreignMax = 4

// Outcome says what an exchange proves about the request.
type Outcome uint8

// The fates of a request.
const (
	// Answered means that the endpoint's whole answer is at hand.
	Answered Outcome = iota
	// NotRun means that the endpoint has not run the request and never will.
	NotRun
	// Unknown means that the endpoint may have run the request.
	Unknown
)

// ErrRefused means that the endpoint itself stated that it did not run the
// request.
var ErrRefused = errors.New("the endpoint refused")

// ErrMisdirected means that another endpoint has the address.
var ErrMisdirected = errors.New("another endpoint has the address")

// ErrIdleClosed means that the endpoint had closed an idle connection. Whether it ran
// the request is unknown all the same.
var ErrIdleClosed = errors.New("the endpoint had closed the idle connection")

// ErrAnswerMismatch means that the answer belongs to another request.
var ErrAnswerMismatch = errors.New("the answer belongs to another request")

// Do hands a request to the endpoint and returns its whole answer. When ctx ends
// the connection is closed, by which the endpoint drops the request. With
// Unknown and NotRun the error says why.
func (p *Pool) Do(ctx context.Context, call *Call) (*message.Response, Outcome, error) {
	c, err := p.take(ctx, call)
	if err != nil {
		return nil, NotRun, errors.Wrap(err, "connect to the endpoint")
	}
	stop := context.AfterFunc(ctx, c.close)
	answer, fate, reusable, err := p.exchange(c, call)
	if !stop() || !reusable {
		c.close()
	} else {
		p.put(c)
	}
	return answer, fate, err
}

func (p *Pool) exchange(c *conn, call *Call) (a *message.Response, fate Outcome, reusable bool, err error) {
	sent := time.Now()
	if _, err := c.raw.Write(p.encode(call)); err != nil {
		return nil, Unknown, false, errors.Wrap(p.broke(c, sent, err), "send to the endpoint")
	}
	response, err := p.readOwn(c, call) //nolint:bodyclose // it is read whole; the connection is the pool's
	if err != nil {
		return nil, Unknown, false, p.broke(c, sent, err)
	}
	c.head.pass()
	body, err := p.bodies.read(response)
	if err != nil {
		return nil, Unknown, false, errors.Wrap(err, "read the endpoint's answer")
	}
	// A late copy of an answer without an ID could not be told from the next answer.
	reusable = c.keep(response) && response.Header.Get(p.headers.RequestID) != ""
	if response.StatusCode == http.StatusMisdirectedRequest {
		return nil, NotRun, reusable, ErrMisdirected
	}
	if p.provesNotRun(response) {
		return nil, NotRun, reusable, errors.Wrapf(ErrRefused, "status %d", response.StatusCode)
	}
	if err := p.check(response); err != nil {
		return nil, Unknown, false, err
	}
	message.DropHopByHop(response.Header)
	return &message.Response{Status: response.StatusCode, Header: response.Header, Body: body}, Answered, reusable, nil
}

// readOwn reads the head of the answer to a call. Answers to earlier requests
// are passed over.
func (p *Pool) readOwn(c *conn, call *Call) (*http.Response, error) {
	asked := &http.Request{Method: call.Request.Method}
	id := call.Request.Header.Get(p.headers.RequestID)
	c.head.begin()
	for range foreignMax {
		response, err := http.ReadResponse(c.in, asked)
		if err != nil {
			return nil, errors.Wrap(err, "read the endpoint's answer")
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if response.Header.Get(p.headers.RequestID) == id || p.provesNotRun(response) && response.Header.Get(p.headers.RequestID) == "" {
			return response, nil
		}
		if err := c.skip(response); err != nil || response.Close {
			return nil, ErrAnswerMismatch
		}
	}
	return nil, ErrAnswerMismatch
}

// skip passes over the body of an answer to another request.
func (c *conn) skip(r *http.Response) error {
	again := c.head.pass()
	defer again()
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, skippedBytesMax+1))
	if err == nil && n > skippedBytesMax {
		err = &TooLargeError{Part: "body", Max: skippedBytesMax}
	}
	return err
}

// provesNotRun reports whether an answer states that the request was not run.
func (p *Pool) provesNotRun(r *http.Response) bool {
	return r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(p.headers.NotStarted) != ""
}

// check finds answers that are not the endpoint's own.
func (p *Pool) check(r *http.Response) error {
	switch {
	case r.Header.Get("Content-Encoding") != "":
		return errors.New("the answer is encoded, which nobody asked for")
	case r.StatusCode < 300 && r.Header.Get(p.headers.ResponseSeal) == "":
		return errors.New("the answer lacks the endpoint's seal")
	default:
		return nil
	}
}

// encode returns a request as it is written.
func (p *Pool) encode(call *Call) []byte {
	r := call.Request
	var b bytes.Buffer // writing to memory never fails
	b.Grow(len(r.Body) + readBufferBytes/4)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	header := r.Header.Clone()
	header.Set(p.headers.RemainingMs, strconv.FormatInt(max(call.Remaining.Milliseconds(), 1), 10))
	header.Set(p.headers.ExpectEndpoint, call.Endpoint)
	header.Set(p.headers.CallerService, call.CallerService)
	_ = header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

package endpointlink

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/message"
)

// skippedBytesMax limits the body of a response to another request that is discarded.
const skippedBytesMax = 64 << 20

// unlimitedBytes is the limit of a body that only memory bounds.
const unlimitedBytes = math.MaxInt64

// skippedResponsesMax limits the responses to other requests that are discarded.
const skippedResponsesMax = 4

// Outcome states what an exchange proves about the request.
type Outcome uint8

// The outcomes of a request.
const (
	// Answered means that the endpoint's whole response was received.
	Answered Outcome = iota
	// NotRun means that the endpoint has not run the request and will not run it.
	NotRun
	// Unknown means that the endpoint may have run the request.
	Unknown
)

// ErrRefused means that the endpoint stated that it did not run the request.
var ErrRefused = errors.New("the endpoint refused")

// ErrMisdirected means that another endpoint now uses the address.
var ErrMisdirected = errors.New("another endpoint has the address")

// ErrIdleClosed means that the endpoint had closed an idle connection. Whether it ran
// the request is still unknown.
var ErrIdleClosed = errors.New("the endpoint had closed the idle connection")

// ErrResponseMismatch means that the response belongs to another request.
var ErrResponseMismatch = errors.New("the answer belongs to another request")

// ErrInvalidStatus means that the status of a response is outside the range of HTTP. Whether the
// endpoint ran the request is unknown, whatever else the response says.
var ErrInvalidStatus = errors.New("the status of the answer is not one of HTTP")

// The range of HTTP statuses (RFC 9110, 15).
const (
	statusMin = 100
	statusMax = 599
)

// Do sends a request to the endpoint and returns its whole response. When ctx is done, the
// connection is closed, which makes the endpoint abort the request. With Unknown and
// NotRun the error is set.
func (p *Pool) Do(ctx context.Context, call *Call) (*message.Response, Outcome, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		return nil, NotRun, errors.Wrap(err, "connect to the endpoint")
	}
	stop := context.AfterFunc(ctx, c.close)
	response, outcome, reusable, err := p.exchange(c, call)
	if !stop() || !reusable {
		c.close()
	} else {
		p.release(c)
	}
	return response, outcome, err
}

func (p *Pool) exchange(c *conn, call *Call) (a *message.Response, outcome Outcome, reusable bool, err error) {
	sent := time.Now()
	if err := p.send(c, call); err != nil {
		return nil, Unknown, false, errors.Wrap(p.recordLostConnection(c, sent, err), "send to the endpoint")
	}
	response, err := p.readMatchingResponse(c, call) //nolint:bodyclose // the body is read to its end; the pool owns the connection
	if err != nil {
		return nil, Unknown, false, p.recordLostConnection(c, sent, err)
	}
	c.head.beginBody()
	body, err := p.bodyReader.read(response, call.Request.Memory)
	if err != nil {
		return nil, Unknown, false, errors.Wrap(err, "read the endpoint's answer")
	}
	// A late duplicate of a response without an ID cannot be distinguished from the next response.
	reusable = c.applyKeepAlive(response) && response.Header.Get(p.headers.RequestID) != ""
	if response.StatusCode == http.StatusMisdirectedRequest {
		return nil, NotRun, reusable, ErrMisdirected
	}
	if p.provesNotRun(response) {
		p.notify(call, response.Header)
		return nil, NotRun, reusable, errors.Wrapf(ErrRefused, "status %d", response.StatusCode)
	}
	if err := p.validate(response); err != nil {
		return nil, Unknown, false, err
	}
	p.notify(call, response.Header)
	message.DropHopByHop(response.Header)
	return &message.Response{Status: response.StatusCode, Header: response.Header, Body: body}, Answered, reusable, nil
}

// notify passes on what an answer says of the endpoint.
func (p *Pool) notify(call *Call, h http.Header) {
	if call.OnNotice != nil {
		call.OnNotice(p.decodeNotice(h))
	}
}

func (p *Pool) decodeNotice(h http.Header) Notice {
	n := Notice{Leaving: h.Get(p.headers.EndpointLeaving) == message.LeavingValue}
	text := h.Get(p.headers.RateLimit)
	if text == "" {
		return n
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		n.Err = errors.Errorf("%s is %q, not a number of calls a second", p.headers.RateLimit, text)
		return n
	}
	n.CallsPerSecond = max(rate, lowestRate)
	return n
}

// lowestRate stands for a named rate of 0, which differs from none.
const lowestRate = 1e-9

// readMatchingResponse reads the head of the response to a call. Responses to earlier requests
// are discarded. A refusal without an ID is accepted only if no earlier request on the connection
// can have caused it: an endpoint may repeat one without being asked.
func (p *Pool) readMatchingResponse(c *conn, call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Request.Method}
	id := call.Request.Header.Get(p.headers.RequestID)
	c.head.beginHead()
	onlyRequest := c.carriesFirstRequest()
	for range skippedResponsesMax {
		response, err := http.ReadResponse(c.in, request)
		if err != nil {
			return nil, errors.Wrap(err, "read the endpoint's answer")
		}
		if response.StatusCode < statusMin || response.StatusCode > statusMax {
			return nil, errors.Wrapf(ErrInvalidStatus, "status %03d", response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		answeredID := response.Header.Get(p.headers.RequestID)
		unnamedRefusal := answeredID == "" && p.provesNotRun(response)
		if answeredID == id || unnamedRefusal && onlyRequest {
			return response, nil
		}
		if err := c.discardBody(response); err != nil || response.Close || unnamedRefusal {
			return nil, ErrResponseMismatch
		}
		onlyRequest = false
	}
	return nil, ErrResponseMismatch
}

// discardBody reads and drops the body of a response to another request.
func (c *conn) discardBody(r *http.Response) error {
	resumeHead := c.head.beginBody()
	defer resumeHead()
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, skippedBytesMax+1))
	if err == nil && n > skippedBytesMax {
		err = &TooLargeError{Part: "body", Max: skippedBytesMax}
	}
	return err
}

// provesNotRun reports whether a response states that the request was not run.
func (p *Pool) provesNotRun(r *http.Response) bool {
	return r.StatusCode == http.StatusMisdirectedRequest || r.Header.Get(p.headers.NotStarted) != ""
}

// validate rejects responses that something between the node and the endpoint may have
// produced or changed: encoded ones, and those with a status below 300 that lack the
// endpoint's seal.
func (p *Pool) validate(r *http.Response) error {
	switch {
	case r.Header.Get("Content-Encoding") != "":
		return errors.New("the answer is encoded, which nobody asked for")
	case r.StatusCode < 300 && r.Header.Get(p.headers.ResponseSeal) == "":
		return errors.New("the answer lacks the endpoint's seal")
	default:
		return nil
	}
}

// send writes a request. A body of several pieces is not copied.
func (p *Pool) send(c *conn, call *Call) error {
	head := p.encodeHead(call)
	body := call.Request.Body
	if len(body) > 0 && len(body[0]) <= message.PieceBytes {
		head.Write(body[0]) // with the head in one packet
		body = body[1:]
	}
	if _, err := head.WriteTo(c.raw); err != nil {
		return err
	}
	_, err := body.WriteTo(c.raw)
	return err
}

// encodeHead returns the head of a request in its wire format.
func (p *Pool) encodeHead(call *Call) *bytes.Buffer {
	r := call.Request
	var b bytes.Buffer // writing to memory never fails
	b.Grow(readBufferBytes / 4)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	header := r.Header.Clone()
	header.Set(p.headers.RemainingMs, strconv.FormatInt(max(call.Remaining.Milliseconds(), 1), 10))
	header.Set(p.headers.ExpectEndpoint, call.Endpoint)
	header.Set(p.headers.CallerService, call.CallerService)
	_ = header.Write(&b)
	if size := r.Body.Len(); size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

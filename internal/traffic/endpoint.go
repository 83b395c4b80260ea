package traffic

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/settings"
)

// endpointIdleMax bounds the idle connections to the local endpoint.
const endpointIdleMax = 512

// crashProbeTimeout bounds the check whether the local endpoint still listens.
const crashProbeTimeout = 300 * time.Millisecond

// endpoint sends calls and probes to the local endpoint.
type endpoint struct {
	address             string
	sender              *sender
	dial                DialFunc
	keptProbeTransport  *http.Transport // reserved for probes, so that calls don't delay them
	freshProbeTransport *http.Transport // opens a new connection for each probe
	readTracker         *readTracker
}

func newEndpoint(s *settings.Node, dial DialFunc) *endpoint {
	tracker := &readTracker{}
	freshTransport := newTransport(s.EndpointAddress, 1, dial)
	freshTransport.DisableKeepAlives = true
	return &endpoint{
		address:             s.EndpointAddress,
		dial:                dial,
		keptProbeTransport:  newTransport(s.EndpointAddress, 1, dial),
		freshProbeTransport: freshTransport,
		readTracker:         tracker,
		sender:              &sender{transport: newTransport(s.EndpointAddress, endpointIdleMax, tracker.wrapDial(dial))},
	}
}

// send sends a call to the endpoint and reads the first part of its answer.
func (e *endpoint) send(ctx context.Context, id call.ID, q *request, remaining time.Duration, cancel context.CancelCauseFunc) (*answer, error) {
	r, err := e.build(id, q, remaining)
	if err != nil {
		return nil, err
	}
	response, err := e.sender.send(ctx, r, cancel) //nolint:bodyclose // answer.readFirstPart closes the body or keeps it as the rest
	if err != nil {
		return nil, err
	}
	a := &answer{status: response.StatusCode, header: response.Header, response: response}
	if q.method == http.MethodHead {
		a.declaredLength = response.ContentLength
	}
	if err := a.readFirstPart(response.Body, answerBufferBytes); err != nil {
		return nil, err
	}
	return a, nil
}

func (e *endpoint) build(id call.ID, q *request, remaining time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI(q.target)
	if err != nil {
		return nil, &unsentError{cause: errors.Wrap(err, "read target")}
	}
	target.Scheme = "http"
	target.Host = e.address
	header := q.header.Clone()
	header.Set(call.HeaderCall, id.String())
	header.Set(call.HeaderTimeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	r := &http.Request{
		Method:        q.method,
		URL:           target,
		Host:          e.address,
		Header:        header,
		Body:          &onceBody{data: q.body},
		ContentLength: int64(len(q.body)),
	}
	return r, nil
}

// down reports whether the endpoint's address accepts no connection.
func (e *endpoint) down() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := e.dial(ctx, "tcp", e.address)
	if err != nil {
		return true
	}
	_ = conn.Close() // only opened as a check
	return false
}

func (e *endpoint) close() {
	e.sender.transport.CloseIdleConnections()
	e.keptProbeTransport.CloseIdleConnections()
}

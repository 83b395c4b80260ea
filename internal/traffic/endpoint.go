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

// crashProbeTimeout bounds the look whether the local endpoint still listens.
const crashProbeTimeout = 300 * time.Millisecond

// endpoint is the way to the local endpoint.
type endpoint struct {
	address string
	link    *link
	dial    DialFunc
	probe   *http.Transport // for probes alone, so that calls don't hold them up
	fresh   *http.Transport // for probes that each take a new connection
	ear     *ear
}

func newEndpoint(s *settings.Node, dial DialFunc) *endpoint {
	listening := &ear{}
	fresh := newTransport(s.EndpointAddress, 1, dial)
	fresh.DisableKeepAlives = true
	return &endpoint{
		address: s.EndpointAddress,
		dial:    dial,
		probe:   newTransport(s.EndpointAddress, 1, dial),
		fresh:   fresh,
		ear:     listening,
		link:    &link{transport: newTransport(s.EndpointAddress, endpointIdleMax, listening.on(dial))},
	}
}

// send hands a call to the endpoint and reads the first part of its answer.
func (e *endpoint) send(ctx context.Context, id call.ID, q *request, remaining time.Duration, cancel context.CancelCauseFunc) (*answer, error) {
	r, err := e.build(id, q, remaining)
	if err != nil {
		return nil, err
	}
	response, err := e.link.send(ctx, r, cancel) //nolint:bodyclose // answer.take closes the body, or keeps it as its rest
	if err != nil {
		return nil, err
	}
	a := &answer{status: response.StatusCode, header: response.Header, response: response}
	if q.method == http.MethodHead {
		a.declared = response.ContentLength
	}
	if err := a.take(response.Body, bufferBytes); err != nil {
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

// down reports whether nothing listens at the endpoint's address any more.
func (e *endpoint) down() bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := e.dial(ctx, "tcp", e.address)
	if err != nil {
		return true
	}
	_ = conn.Close() // only opened to see whether it opens
	return false
}

func (e *endpoint) close() {
	e.link.transport.CloseIdleConnections()
	e.probe.CloseIdleConnections()
}

// Package endpointlink sends requests to the local endpoint over its own pool of HTTP/1.1
// connections. It reports whether a failed exchange proves that the request was not run,
// and never attributes bytes of one response to another request.
package endpointlink

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/idlelimit"
	"github.com/galenacart/galenacart/internal/message"
)

const (
	// dialTimeout limits the time to open a connection on the same machine.
	dialTimeout = 300 * time.Millisecond
	// probeTimeout limits the time to open a connection that checks whether the endpoint
	// listens. On the same machine it is accepted or refused immediately.
	probeTimeout = 50 * time.Millisecond
	// probeObservationTime is how long such a connection is observed. Within this time it is
	// closed again if something else accepted it, such as a port forwarder without a target.
	probeObservationTime = 20 * time.Millisecond
	// defaultIdleMax is the idle limit if the endpoint sends no Keep-Alive timeout.
	defaultIdleMax = 8 * time.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout.
	idleMargin = time.Second
	// idleMaxNonIdempotent is the idle limit of a connection for a request that must not run
	// twice, since it can't be retried when it is lost. Some endpoints drop idle connections
	// after 300 ms.
	idleMaxNonIdempotent = 150 * time.Millisecond
)

// Pool holds the connections to the local endpoint.
type Pool struct {
	address string
	headers message.Headers
	// headBytesMax limits what precedes the body of a response.
	headBytesMax int
	bodyReader   *bodyReader
	dial         func(ctx context.Context, address string) (net.Conn, error)

	mu        sync.Mutex
	idle      []*conn // the most recently used last
	idleLimit *idlelimit.Limit
	createdAt time.Time
}

// Bounds limit the size of responses.
type Bounds struct {
	// HeadBytesMax limits the head of a response. 0 means DefaultHeadBytesMax.
	HeadBytesMax int
	// BodyBytesMax limits the bodies that are being read. 0 means DefaultBodyBytesMax.
	BodyBytesMax int
}

// New returns a pool for an IP address and port.
func New(address string, headers message.Headers, bounds Bounds) *Pool {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Pool{
		address:      address,
		headers:      headers,
		headBytesMax: cmp.Or(bounds.HeadBytesMax, DefaultHeadBytesMax),
		bodyReader:   newBodyReader(cmp.Or(bounds.BodyBytesMax, DefaultBodyBytesMax)),
		idleLimit:    idlelimit.New(defaultIdleMax),
		createdAt:    time.Now(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Call is one request for the endpoint.
type Call struct {
	// Request is the request as the client sent it.
	Request *message.Request
	// Endpoint identifies the endpoint instance that is to run the request.
	Endpoint string
	// CallerService is the service of the VM where the request originated.
	CallerService string
	// Remaining is the time left for the endpoint's response.
	Remaining time.Duration
	// Idempotent is true if the request may safely run twice.
	Idempotent bool
	// OnNotice receives what an answer of the endpoint says of the endpoint itself, also if
	// the answer states that the request was not run. It may be nil.
	OnNotice func(Notice)
}

// Notice is what an answer says of the endpoint.
type Notice struct {
	// CallsPerSecond is the rate of calls that the endpoint takes, or 0 if it names none.
	CallsPerSecond float64
	// Leaving is true if the endpoint is leaving.
	Leaving bool
	// Err says why a rate can't be used.
	Err error
}

// acquire returns an idle connection that is usable for a call, or a new one.
func (p *Pool) acquire(ctx context.Context, call *Call) (*conn, error) {
	id := call.Request.Header.Get(p.headers.RequestID)
	for {
		c := p.popIdle(id)
		if c == nil {
			break
		}
		if c.usable(time.Now(), p.idleMax(call.Idempotent)) {
			c.recordRequest(id)
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, p.headBytesMax)
	c.recordRequest(id)
	return c, nil
}

// idleMax returns how long a connection may have been idle before it carries a request.
func (p *Pool) idleMax(idempotent bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.idleLimit.Current(time.Since(p.createdAt))
	if !idempotent {
		current = min(current, idleMaxNonIdempotent)
	}
	return current
}

// recordLostConnection records that a connection failed between a send and the response. It
// returns err, or ErrIdleClosed with its text if the endpoint had closed the idle
// connection before the send.
func (p *Pool) recordLostConnection(c *conn, sent time.Time, err error) error {
	if c.idleSince.IsZero() {
		return err // a new connection
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleLimit.RecordReset(time.Since(p.createdAt), sent.Sub(c.idleSince), time.Since(sent)) {
		return errors.Wrap(ErrIdleClosed, err.Error())
	}
	return err
}

// popIdle removes and returns the most recently used connection that can serve a request,
// or returns nil.
func (p *Pool) popIdle(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.canServe(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// release returns a connection to the pool. Connections that exceeded their idle limit are
// closed.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && !p.idle[0].withinIdleLimit(c.idleSince) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// Unreachable opens a connection and reports whether the endpoint does not accept it. An
// accepted connection is kept for the next request.
func (p *Pool) Unreachable() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return IsConnectionRefused(err) || ctx.Err() != nil
	}
	c := newConn(raw, p.headBytesMax)
	if !c.staysOpen(probeObservationTime) {
		c.close()
		return true
	}
	p.release(c)
	return false
}

// IsConnectionRefused reports whether err means that nothing listens at the endpoint's address.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

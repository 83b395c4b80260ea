// Package endpointlink carries requests to the local endpoint over HTTP/1.1
// connections of its own. It tells what a failed exchange proves, and lets no
// byte of one answer pass for another.
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
	// dialTimeout bounds the opening of a connection on the same machine.
	dialTimeout = 300 * time.Millisecond
	// downTimeout bounds the opening of a connection that finds out whether the endpoint
	// is there. On the same machine it is accepted or refused at once.
	downTimeout = 50 * time.Millisecond
	// downPatience is the time in which such a connection is closed again if something
	// else than the endpoint has accepted it, such as a port forwarder.
	downPatience = 20 * time.Millisecond
	// idleBefore is the idle time of a connection whose endpoint names none.
	idleBefore = 8 * time.Second
	// idleMargin is kept to the idle time that the endpoint names.
	idleMargin = time.Second
	// idleNonIdempotent bounds the idle time of a connection for a request that
	// must not run twice, since a lost one can't be mended. Endpoints were seen to
	// forget connections after 300 ms.
	idleNonIdempotent = 150 * time.Millisecond
)

// Pool holds the connections to the local endpoint.
type Pool struct {
	address string
	headers message.Headers
	// headBytesMax bounds what comes ahead of the body of an answer.
	headBytesMax int
	bodies       *bodies
	dial         func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	idle  []*conn // the one used last at the end
	limit *idlelimit.Limit
	began time.Time
}

// Bounds are what answers may take.
type Bounds struct {
	// HeadBytesMax bounds the head of an answer. 0 stands for HeadBytesUsual.
	HeadBytesMax int
	// BodyBytesMax bounds the bodies that are being read. 0 stands for BodyBytesUsual.
	BodyBytesMax int
}

// New returns a pool for an IP address and port.
func New(address string, headers message.Headers, bounds Bounds) *Pool {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Pool{
		address:      address,
		headers:      headers,
		headBytesMax: cmp.Or(bounds.HeadBytesMax, DefaultHeadBytesMax),
		bodies:       newBodies(cmp.Or(bounds.BodyBytesMax, DefaultBodyBytesMax)),
		limit:        idlelimit.New(idleBefore),
		began:        time.Now(),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
}

// Call is one request for the endpoint.
type Call struct {
	// Request is the request as the client sent it.
	Request *message.Request
	// Endpoint is the run of the endpoint that is to run it.
	Endpoint string
	// CallerService is the service of the VM where the request began.
	CallerService string
	// Remaining is the time that the endpoint may take.
	Remaining time.Duration
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
}

// take returns a connection that is fit for a call, or a new one.
func (p *Pool) take(ctx context.Context, call *Call) (*conn, error) {
	id := call.Request.Header.Get(p.headers.RequestID)
	for {
		c := p.pop(id)
		if c == nil {
			break
		}
		if c.fit(time.Now(), p.idleMax(call.Idempotent)) {
			c.carry(id)
			return c, nil
		}
		c.close()
	}
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, p.headBytesMax)
	c.carry(id)
	return c, nil
}

// idleMax returns how long a connection for a request may have rested.
func (p *Pool) idleMax(idempotent bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.limit.Current(time.Since(p.began))
	if !idempotent {
		current = min(current, idleNonIdempotent)
	}
	return current
}

// broke takes in that no answer came on a connection after a send. It returns the
// error, as an ErrForgotten where the endpoint had closed the connection before.
func (p *Pool) broke(c *conn, sent time.Time, err error) error {
	if c.idleSince.IsZero() {
		return err // a new connection
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit.RecordReset(time.Since(p.began), sent.Sub(c.idleSince), time.Since(sent)) {
		return errors.Wrap(ErrIdleClosed, err.Error())
	}
	return err
}

// pop takes out the connection used last among those that are fresh for a request.
func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at := len(p.idle) - 1; at >= 0; at-- {
		if c := p.idle[at]; c.fresh(id) {
			p.idle = slices.Delete(p.idle, at, at+1)
			return c
		}
	}
	return nil
}

// put keeps a connection for the next request. Connections that have been idle
// for too long are closed.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
	for len(p.idle) > 0 && !p.idle[0].young(c.idleSince) {
		p.idle[0].close()
		p.idle = p.idle[1:]
	}
}

// Unreachable reports whether the endpoint takes no connections. One that it takes is kept for
// the next request.
func (p *Pool) Unreachable() bool {
	ctx, cancel := context.WithTimeout(context.Background(), downTimeout)
	defer cancel()
	raw, err := p.dial(ctx, p.address)
	if err != nil {
		return IsConnectionRefused(err) || ctx.Err() != nil
	}
	c := newConn(raw, p.headBytesMax)
	if !c.stays(downPatience) {
		c.close()
		return true
	}
	p.put(c)
	return false
}

// IsConnectionRefused reports whether an error says that nothing listens at the endpoint's address.
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

// Package caller sends requests to a galenacart deployment. It gets an
// idempotency token before a request that must not run twice, so that the
// request may be sent again through any other node, and it honours the nodes'
// Retry-After.
package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/wait"
)

// Defaults of a Client.
const (
	// DefaultMaxAttempts is the number of times that one request is sent at most.
	DefaultMaxAttempts = 3
	// DefaultTokenTimeout bounds the wait for a token. Nodes issue tokens without
	// asking anybody, so one that takes longer is frozen or cut off.
	DefaultTokenTimeout = 300 * time.Millisecond
	// DefaultMaxAnswerBytes is the largest answer that is read.
	DefaultMaxAnswerBytes = 16 << 20

	idleConnectionsPerNode = 64
	idleConnectionTimeout  = 30 * time.Second
)

// Request is one request to the deployment.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the URL path, with a query if there is one.
	Path string
	// Header holds further headers. It may be nil.
	Header http.Header
	// Body is the request body. It may be empty.
	Body []byte
	// Idempotent says that running the request twice does no harm. Other
	// requests get an idempotency key.
	Idempotent bool
	// IdempotencyKey is the caller's own idempotency key. When it is empty, a request that
	// is not idempotent gets a token from a node, which is the safer way.
	IdempotencyKey string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	addresses      []string
	http           *http.Client
	next           atomic.Uint64
	health         *health
	tokenTimeout   time.Duration
	maxSends       int
	sendTimeout    time.Duration
	maxAnswerBytes int64
	pause          Backoff
}

// New returns a client of the nodes at the given caller addresses, each an IP
// address and port.
func New(addresses []string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("caller: no node addresses")
	}
	c := &Client{
		addresses:      append([]string(nil), addresses...),
		maxSends:       DefaultMaxAttempts,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		pause:          RetryAfterBackoff(rand.Float64),
		health:         newHealth(),
		tokenTimeout:   DefaultTokenTimeout,
	}
	c.http = &http.Client{
		Transport:     newTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.next.Store(rand.Uint64N(uint64(len(addresses))))
	for _, o := range options {
		o(c)
	}
	if c.maxSends < 1 {
		return nil, errors.Errorf("caller: want at least 1 send, have %d", c.maxSends)
	}
	return c, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idleConnectionsPerNode,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// address returns the node for the next send. Consecutive sends of one request
// go to different nodes. Nodes that failed a short time ago are passed over
// while there are others.
func (c *Client) address() string {
	now := time.Now()
	for range c.addresses {
		address := c.following()
		if c.health.usable(address, now) {
			return address
		}
	}
	return c.following()
}

func (c *Client) following() string {
	n := c.next.Add(1)
	return c.addresses[n%uint64(len(c.addresses))]
}

// Do sends a request until an answer is final, the sends are used up or ctx
// ends. The error is a *LostError when no answer came at all.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	d := &delivery{client: c, request: r, key: r.IdempotencyKey}
	for d.sends < c.maxSends {
		answer, pause, err := d.once(ctx)
		if answer != nil && !answer.resendable() {
			return d.finish(answer), nil
		}
		d.last, d.lastErr = answer, err
		if d.sends >= c.maxSends || !sleep(ctx, pause) {
			break
		}
	}
	if d.last != nil {
		return d.finish(d.last), nil
	}
	return nil, &NoAnswerError{Attempts: d.sends, Execution: d.lostRan(), Cause: d.lastErr}
}

// sleep waits and reports whether ctx still runs. It doesn't begin a wait that
// would outlast ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return wait.For(ctx, d)
}

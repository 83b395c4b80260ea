// Package caller is a client library for galenacart deployments. Before it sends
// a request that is not idempotent, it obtains an idempotency token from a node, so
// that the request can be retried safely through any other node. It honours the
// Retry-After headers of the nodes.
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
	// DefaultMaxAttempts is the maximum number of attempts of one request.
	DefaultMaxAttempts = 3
	// DefaultTokenTimeout bounds the wait for a token. A node issues tokens without
	// contacting other nodes, so one that takes longer is frozen or unreachable.
	DefaultTokenTimeout = 300 * time.Millisecond
	// DefaultMaxAnswerBytes is the maximum size of the body of an answer.
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
	// Idempotent marks a request that may safely run more than once. Other
	// requests get an idempotency key.
	Idempotent bool
	// IdempotencyKey is an idempotency key that the caller chose. When it is empty, the
	// client obtains a token from a node for a request that is not idempotent, which
	// is safer.
	IdempotencyKey string
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	addresses      []string
	http           *http.Client
	nextIndex      atomic.Uint64
	health         *health
	tokenTimeout   time.Duration
	maxAttempts    int
	attemptTimeout time.Duration
	maxAnswerBytes int64
	backoff        Backoff
}

// New returns a client of the nodes at the given client addresses, each an IP
// address and port.
func New(addresses []string, options ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("caller: no node addresses")
	}
	c := &Client{
		addresses:      append([]string(nil), addresses...),
		maxAttempts:    DefaultMaxAttempts,
		maxAnswerBytes: DefaultMaxAnswerBytes,
		backoff:        RetryAfterBackoff(rand.Float64),
		health:         newHealth(),
		tokenTimeout:   DefaultTokenTimeout,
	}
	c.http = &http.Client{
		Transport:     newTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	c.nextIndex.Store(rand.Uint64N(uint64(len(addresses))))
	for _, o := range options {
		o(c)
	}
	if c.maxAttempts < 1 {
		return nil, errors.Errorf("caller: maximum number of attempts is %d, want at least 1", c.maxAttempts)
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

// address returns the node for the next attempt. Consecutive attempts of
// one request go to different nodes. Nodes that failed recently are skipped unless
// all nodes did.
func (c *Client) address() string {
	now := time.Now()
	for range c.addresses {
		address := c.nextAddress()
		if c.health.usable(address, now) {
			return address
		}
	}
	return c.nextAddress()
}

func (c *Client) nextAddress() string {
	n := c.nextIndex.Add(1)
	return c.addresses[n%uint64(len(c.addresses))]
}

// Do sends a request until an answer is final, the maximum number of attempts is
// reached or ctx ends. The error is a *NoAnswerError when no attempt was answered.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	s := &requestState{client: c, request: r, key: r.IdempotencyKey}
	for s.attempts < c.maxAttempts {
		answer, backoff, err := s.attempt(ctx)
		if answer != nil && !answer.retryable() {
			return s.finish(answer), nil
		}
		s.lastAnswer, s.lastErr = answer, err
		if s.attempts >= c.maxAttempts || !sleep(ctx, backoff) {
			break
		}
	}
	if s.lastAnswer != nil {
		return s.finish(s.lastAnswer), nil
	}
	return nil, &NoAnswerError{Attempts: s.attempts, Execution: s.executionWithoutAnswer(), Cause: s.lastErr}
}

// sleep waits for d and reports whether ctx is still active. It returns at once if
// the deadline of ctx is not after the end of the wait.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	return wait.For(ctx, d)
}

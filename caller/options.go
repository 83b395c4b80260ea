package caller

import (
	"net/http"
	"time"
)

// Option configures a Client.
type Option func(*Client)

// WithMaxAttempts bounds the attempts of one request, the first one included.
// A request for a token counts as an attempt only if it fails.
func WithMaxAttempts(n int) Option {
	return func(c *Client) { c.maxAttempts = n }
}

// WithAttemptTimeout bounds the wait for the answer to one attempt. With 0, only the
// request's context bounds it.
func WithAttemptTimeout(d time.Duration) Option {
	return func(c *Client) { c.attemptTimeout = d }
}

// WithMaxAnswerBytes bounds the size of the body of an answer. A larger answer is an error.
func WithMaxAnswerBytes(n int64) Option {
	return func(c *Client) { c.maxAnswerBytes = n }
}

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithBackoff sets the wait between two attempts.
func WithBackoff(b Backoff) Option {
	return func(c *Client) { c.backoff = b }
}

// Backoff returns the wait before the next attempt. attempts counts those made so
// far; retryAfter is the wait that the last answer requested, or 0.
type Backoff func(attempts int, retryAfter time.Duration) time.Duration

// Parameters of RetryAfterBackoff.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	maxJitterShare = 0.5
)

// RetryAfterBackoff waits for the time that the node requested, or else for a time
// that doubles with each attempt. Up to half of it is added as jitter, so that
// clients don't retry at the same time. random returns values in [0, 1).
func RetryAfterBackoff(random func() float64) Backoff {
	return func(attempts int, retryAfter time.Duration) time.Duration {
		backoff := retryAfter
		if backoff <= 0 {
			backoff = initialBackoff << min(max(attempts-1, 0), 10)
		}
		backoff = min(backoff, maxBackoff)
		return backoff + time.Duration(random()*maxJitterShare*float64(backoff))
	}
}

// ConstantBackoff waits for the same time before every send and ignores Retry-After.
func ConstantBackoff(d time.Duration) Backoff {
	return func(int, time.Duration) time.Duration { return d }
}

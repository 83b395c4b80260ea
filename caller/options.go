package caller

import (
	"net/http"
	"time"
)

// Option changes a Client.
type Option func(*Client)

// WithMaxAttempts bounds how often one request is sent, the first send included.
// A request for a token counts as a send only when it fails.
func WithMaxAttempts(n int) Option {
	return func(c *Client) { c.maxSends = n }
}

// WithAttemptTimeout bounds the wait for the answer to one send. 0 stands for the
// request's own context alone.
func WithAttemptTimeout(d time.Duration) Option {
	return func(c *Client) { c.sendTimeout = d }
}

// WithMaxAnswerBytes bounds the answers that are read.
func WithMaxAnswerBytes(n int64) Option {
	return func(c *Client) { c.maxAnswerBytes = n }
}

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// WithBackoff replaces the wait between two sends.
func WithBackoff(p Backoff) Option {
	return func(c *Client) { c.pause = p }
}

// Backoff returns the wait before the next send. sends counts those made so far;
// retryAfter is what the last answer asked for, or 0.
type Backoff func(sends int, retryAfter time.Duration) time.Duration

// Waits between sends.
const (
	firstPause  = 50 * time.Millisecond
	maxPause    = 5 * time.Second
	jitterShare = 0.5
)

// RetryAfterBackoff waits for as long as the node asked, and for a time that
// doubles with each send when it didn't ask. Up to half is added at random, so
// that callers don't come back together. random returns values in [0, 1).
func RetryAfterBackoff(random func() float64) Backoff {
	return func(sends int, retryAfter time.Duration) time.Duration {
		wait := retryAfter
		if wait <= 0 {
			wait = firstPause << min(max(sends-1, 0), 10)
		}
		wait = min(wait, maxPause)
		return wait + time.Duration(random()*jitterShare*float64(wait))
	}
}

// ConstantBackoff waits for the same time before every send and ignores Retry-After.
func ConstantBackoff(d time.Duration) Backoff {
	return func(int, time.Duration) time.Duration { return d }
}

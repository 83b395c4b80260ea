package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// tokenPath is the path at which nodes issue idempotency tokens.
const tokenPath = "/galenacart/token"

// tokenResponse is a node's response to a request for a token.
type tokenResponse struct {
	Token      string `json:"token"`
	LifetimeMs int64  `json:"lifetimeMs"`
}

// requestState is the state of one request across its attempts.
type requestState struct {
	client   *Client
	request  *Request
	key      string
	attempts int
	// tokenNode is the node that issued the key; the next attempt goes to it.
	tokenNode string
	// lastNode is the node of the latest attempt.
	lastNode string
	// uncertain is set once an attempt ended without proof that the request didn't run.
	uncertain  bool
	lastAnswer *Answer
	lastErr    error
}

// attempt sends the request once. It returns the wait before the next attempt.
func (s *requestState) attempt(ctx context.Context) (*Answer, time.Duration, error) {
	if s.key == "" && !s.request.Idempotent {
		if answer, err := s.fetchToken(ctx); answer != nil || err != nil {
			return answer, s.nextWait(answer), err
		}
	}
	header := s.request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if s.key != "" {
		header.Set(headerKey, s.key)
	}
	answer, err := s.send(ctx, s.request.Method, s.request.Path, header, s.request.Body)
	s.recordOutcome(answer, err)
	return answer, s.nextWait(answer), err
}

// recordOutcome records whether an attempt proved that the request did not run.
func (s *requestState) recordOutcome(answer *Answer, err error) {
	if err != nil {
		s.uncertain = s.uncertain || !neverSent(err)
		return
	}
	if answer.Execution == ExecutionUnknown {
		s.uncertain = true
	}
	if answer.Execution == NotExecuted && s.request.IdempotencyKey == "" && (!s.uncertain || answer.invalidatesToken()) {
		// Nothing runs with this token any more, so the next attempt needs a new one.
		s.key = ""
		s.uncertain = false
	}
}

// fetchToken obtains a token. It returns nil on success, and the node's answer if
// the node refused.
func (s *requestState) fetchToken(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.tokenTimeout)
	defer cancel()
	answer, err := s.send(ctx, http.MethodPost, tokenPath, http.Header{}, nil)
	if err != nil {
		return nil, err
	}
	if !answer.FromEndpoint() {
		answer.Execution = NotExecuted // the request itself was never sent
		return answer, nil
	}
	var t tokenResponse
	if err := json.Unmarshal(answer.Body, &t); err != nil || t.Token == "" {
		return nil, errors.Errorf("caller: response to a token request has status %d and no token", answer.Status)
	}
	s.key = t.Token
	s.tokenNode = s.lastNode
	s.attempts-- // the token and the request count as one attempt
	return nil, nil
}

func (s *requestState) send(ctx context.Context, method, path string, h http.Header, body []byte) (*Answer, error) {
	c := s.client
	if c.attemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.attemptTimeout)
		defer cancel()
	}
	s.attempts++
	address := s.address()
	answer, err := c.exchange(ctx, address, method, path, h, body)
	if err != nil {
		c.health.recordFailure(address, time.Now())
		return nil, err
	}
	c.health.recordAnswer(address)
	return answer, nil
}

// address returns the node for the next attempt: the one that just issued the
// token, which saves a hop, or else the next usable one.
func (s *requestState) address() string {
	address := s.tokenNode
	s.tokenNode = ""
	if address == "" {
		address = s.client.address()
	}
	s.lastNode = address
	return address
}

// exchange sends one HTTP request and reads the complete answer.
func (c *Client) exchange(ctx context.Context, address, method, path string, h http.Header, body []byte) (*Answer, error) {
	// The transport resends requests whose body has GetBody, which the number of
	// attempts would not include. A body without it prevents that.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, errors.Wrap(err, "caller: build request")
	}
	r.ContentLength = int64(len(body))
	r.Header = h
	response, err := c.http.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "caller: send to %s", address)
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read from it
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "caller: read answer from %s", address)
	}
	if int64(len(data)) > c.maxAnswerBytes {
		return nil, errors.Errorf("caller: answer from %s exceeds %d bytes", address, c.maxAnswerBytes)
	}
	return newAnswer(response.StatusCode, response.Header, data), nil
}

func (s *requestState) nextWait(answer *Answer) time.Duration {
	var requested time.Duration
	if answer != nil {
		requested = answer.retryAfter()
	}
	return s.client.backoff(s.attempts, requested)
}

// finish completes the last answer. A node's "not run" doesn't apply to an earlier
// attempt that ended without an answer.
func (s *requestState) finish(a *Answer) *Answer {
	a.Attempts = s.attempts
	if s.uncertain && a.Execution == NotExecuted {
		a.Execution = ExecutionUnknown
	}
	return a
}

func (s *requestState) executionWithoutAnswer() Execution {
	if s.uncertain {
		return ExecutionUnknown
	}
	return NotExecuted
}

// neverSent reports whether err proves that no byte of the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

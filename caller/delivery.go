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

// tokenPath is where a node hands out idempotency tokens.
const tokenPath = "/galenacart/token"

// token is a node's answer to a request for a token.
type token struct {
	Token      string `json:"token"`
	LifetimeMs int64  `json:"lifetimeMs"`
}

// delivery is the state of one request over its sends.
type delivery struct {
	client  *Client
	request *Request
	key     string
	sends   int
	// home is the node that handed out the key, for the send that follows.
	home string
	// asked is the node of the newest send.
	asked string
	// uncertain is set once a send ended without proof that it didn't run.
	uncertain bool
	last      *Answer
	lastErr   error
}

// once sends the request one time. It returns the wait before the next send.
func (d *delivery) once(ctx context.Context) (*Answer, time.Duration, error) {
	if d.key == "" && !d.request.Idempotent {
		if answer, err := d.fetchToken(ctx); answer != nil || err != nil {
			return answer, d.wait(answer), err
		}
	}
	header := d.request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	if d.key != "" {
		header.Set(headerKey, d.key)
	}
	answer, err := d.send(ctx, d.request.Method, d.request.Path, header, d.request.Body)
	d.learn(answer, err)
	return answer, d.wait(answer), err
}

// learn records what a send of the request itself proved.
func (d *delivery) learn(answer *Answer, err error) {
	if err != nil {
		d.uncertain = d.uncertain || !neverSent(err)
		return
	}
	if answer.Execution == ExecutionUnknown {
		d.uncertain = true
	}
	if answer.Execution == NotExecuted && d.request.IdempotencyKey == "" && (!d.uncertain || answer.spent()) {
		// A token that was told not run starts nothing more; another try needs
		// another token.
		d.key = ""
		d.uncertain = false
	}
}

// fetchToken gets a token. It returns nothing when it has one, and the node's
// answer when the node refused.
func (d *delivery) fetchToken(ctx context.Context) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, d.client.tokenTimeout)
	defer cancel()
	answer, err := d.send(ctx, http.MethodPost, tokenPath, http.Header{}, nil)
	if err != nil {
		return nil, err
	}
	if !answer.FromEndpoint() {
		answer.Execution = NotExecuted // the request itself was never sent
		return answer, nil
	}
	var t token
	if err := json.Unmarshal(answer.Body, &t); err != nil || t.Token == "" {
		return nil, errors.Errorf("caller: node answered a request for a token with status %d and no token", answer.Status)
	}
	d.key = t.Token
	d.home = d.asked
	d.sends-- // the request follows in the same send
	return nil, nil
}

func (d *delivery) send(ctx context.Context, method, path string, h http.Header, body []byte) (*Answer, error) {
	c := d.client
	if c.sendTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.sendTimeout)
		defer cancel()
	}
	d.sends++
	address := d.address()
	answer, err := c.exchange(ctx, address, method, path, h, body)
	if err != nil {
		c.health.failed(address, time.Now())
		return nil, err
	}
	c.health.answered(address)
	return answer, nil
}

// address returns the node for the next send: the one that just handed out the
// token, which saves a hop, or else the next one.
func (d *delivery) address() string {
	address := d.home
	d.home = ""
	if address == "" {
		address = d.client.address()
	}
	d.asked = address
	return address
}

// exchange makes one HTTP exchange and reads the whole answer.
func (c *Client) exchange(ctx context.Context, address, method, path string, h http.Header, body []byte) (*Answer, error) {
	// A body without GetBody keeps the transport from sending the request again
	// on its own, which no count of sends would show.
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
	defer func() { _ = response.Body.Close() }() // read to its end or given up
	data, err := io.ReadAll(io.LimitReader(response.Body, c.maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "caller: read answer of %s", address)
	}
	if int64(len(data)) > c.maxAnswerBytes {
		return nil, errors.Errorf("caller: answer of %s is over %d bytes", address, c.maxAnswerBytes)
	}
	return newAnswer(response.StatusCode, response.Header, data), nil
}

func (d *delivery) wait(answer *Answer) time.Duration {
	var asked time.Duration
	if answer != nil {
		asked = answer.retryAfter()
	}
	return d.client.pause(d.sends, asked)
}

// finish completes the last answer. A "not run" from one node doesn't cover an
// earlier send that ended without an answer.
func (d *delivery) finish(a *Answer) *Answer {
	a.Attempts = d.sends
	if d.uncertain && a.Execution == NotExecuted {
		a.Execution = ExecutionUnknown
	}
	return a
}

func (d *delivery) lostRan() Execution {
	if d.uncertain {
		return ExecutionUnknown
	}
	return NotExecuted
}

// neverSent reports whether err proves that no byte of the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientSlack is how long a client waits beyond its deadline, to see a late answer.
const clientSlack = 3 * time.Second

// request is one client attempt.
type request struct {
	attempt  string
	method   string
	path     string
	deadline time.Duration
	body     []byte
}

// answer is what a client got for a request.
type answer struct {
	request  request
	sentAt   time.Time // of the last byte
	endedAt  time.Time
	status   int // 0 if the connection ended without a whole answer
	own      bool
	err      error
	closes   bool
	received int
}

// client is a client with one kept connection to the node of its machine.
type client struct {
	record *record
	name   string
	conn   net.Conn
	in     *bufio.Reader
}

func newClient(rec *record, name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{record: rec, name: name, conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) close() {
	_ = c.conn.Close() // it may have ended already
}

// do sends a request and waits for its answer.
func (c *client) do(r *request) *answer {
	a := &answer{request: *r}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + clientSlack)) // an ended connection fails below
	if err := c.send(r); err != nil {
		a.err = err
	}
	a.sentAt = time.Now()
	c.record.logf("%s sent %s %s %s, %d bytes of body", c.name, r.method, r.path, r.attempt, len(r.body))
	c.receive(a)
	a.endedAt = time.Now()
	c.record.logf("%s got %s", c.name, a)
	return a
}

func (c *client) send(r *request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.path, hostName, headerAttempt, r.attempt,
		headerDeadline, r.deadline.Milliseconds())
	if len(r.body) > 0 || r.method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	_, err := c.conn.Write(b.Bytes())
	return err
}

func (c *client) receive(a *answer) {
	response, err := http.ReadResponse(c.in, &http.Request{Method: a.request.method})
	if err != nil {
		a.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // it was read
	if err != nil {
		a.err = err
		return
	}
	a.status, a.closes, a.received = response.StatusCode, response.Close, len(body)
	a.own = response.Header.Get(headerSeal) == sealOf(a.request.attempt) && string(body) == bodyOf(a.request.attempt)
}

// String describes an answer.
func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer to %s: %v (after %.3f s)", a.request.attempt, a.err, a.endedAt.Sub(a.sentAt).Seconds())
	}
	return fmt.Sprintf("%d to %s (of the instance: %v, closes: %v, after %.3f s)", a.status, a.request.attempt, a.own, a.closes, a.endedAt.Sub(a.sentAt).Seconds())
}

// warmUpRequests is the number of quick requests after which all instances have answered.
const warmUpRequests = 12

// warmUp sends quick requests one after the other.
func warmUp(f *fleet, n *node, method, path string) error {
	c, err := newClient(f.record, "the first client", n.clientAddress())
	if err != nil {
		return err
	}
	defer c.close()
	for k := range warmUpRequests {
		a := c.do(&request{attempt: fmt.Sprintf("warm-up-%d", k+1), method: method, path: path, deadline: viewDeadline})
		if !a.own {
			return fmt.Errorf("the warm-up got %v", a)
		}
	}
	return nil
}

// doPipelined sends requests behind one another and waits for all answers.
func (c *client) doPipelined(requests []*request) []*answer {
	var answers []*answer
	for _, r := range requests {
		a := &answer{request: *r}
		_ = c.conn.SetDeadline(time.Now().Add(r.deadline + clientSlack)) // an ended connection fails below
		a.err = c.send(r)
		a.sentAt = time.Now()
		c.record.logf("%s sent %s %s %s", c.name, r.method, r.path, r.attempt)
		answers = append(answers, a)
	}
	for _, a := range answers {
		c.receive(a)
		a.endedAt = time.Now()
		c.record.logf("%s got %s", c.name, a)
	}
	return answers
}

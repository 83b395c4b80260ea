package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	machine *machine
	id      string
	work    time.Duration
	sent    time.Time // when its last byte was sent
	ended   time.Time
	status  int // 0 if the connection ended without a complete answer
	sealed  bool
	problem string
}

// reuseMax is how long a connection may be idle and still be used: four fifths of the time-out.
const reuseMax = 12 * time.Second

// client sends the requests of one kind at one machine.
type client struct {
	machine  *machine
	method   string
	host     string
	path     string
	deadline time.Duration

	mu       sync.Mutex
	sequence int
	waiting  int
	requests []*request
	idle     []*kept
	pending  sync.WaitGroup
}

// pendingMax limits the requests of a client that wait for their answers: on a machine that is too
// slow for the case, it sends fewer.
const pendingMax = 60

// send sends one request in the background, on a connection that is kept or a new one.
func (c *client) send(work time.Duration) {
	c.mu.Lock()
	if c.waiting >= pendingMax {
		c.mu.Unlock()
		return
	}
	c.waiting++
	c.sequence++
	r := &request{machine: c.machine, id: fmt.Sprintf("%s-%s-%06x", strings.TrimSuffix(c.host, ".example"), c.machine.name, c.sequence), work: work}
	c.requests = append(c.requests, r)
	c.mu.Unlock()
	c.pending.Go(func() {
		status, sealed, sent, err := c.exchange(r)
		c.mu.Lock()
		defer c.mu.Unlock()
		r.status, r.sealed, r.sent, r.ended = status, sealed, sent, time.Now()
		c.waiting--
		if err != nil {
			r.problem = err.Error()
		}
	})
}

// kept is a connection that a client keeps.
type kept struct {
	conn   net.Conn
	reader *bufio.Reader
	since  time.Time
}

// connection returns a connection that is kept, or a new one.
func (c *client) connection() (*kept, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		last := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(last.since) < reuseMax {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.conn.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.machine.ip+":"+portClients, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a request and reads the answer.
func (c *client) exchange(r *request) (status int, sealed bool, sent time.Time, err error) {
	k, err := c.connection()
	if err != nil {
		return 0, false, time.Now(), err
	}
	reusable := false
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if k.since = time.Now(); reusable {
			c.idle = append(c.idle, k)
		} else {
			_ = k.conn.Close()
		}
	}()
	_ = k.conn.SetDeadline(time.Now().Add(c.deadline))
	text := c.method + " " + c.path + r.id + " HTTP/1.1\r\nHost: " + c.host + "\r\nX-Attempt-Id: " + r.id +
		"\r\nX-Deadline-Remaining: " + strconv.FormatInt(c.deadline.Milliseconds(), 10) +
		"\r\n" + workHeader + ": " + strconv.FormatInt(r.work.Milliseconds(), 10) + "\r\n\r\n"
	if _, err = io.WriteString(k.conn, text); err != nil {
		return 0, false, time.Now(), err
	}
	sent = time.Now()
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, false, sent, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, false, sent, err
	}
	reusable = !response.Close
	return response.StatusCode, response.Header.Get("X-Response-Seal") != "", sent, nil
}

// sendEvery sends requests at random times, at a mean distance, until stop is closed. While mayStart
// is false, it starts none.
func (c *client) sendEvery(mean time.Duration, work func() time.Duration, mayStart func() bool, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * float64(mean))):
		}
		if mayStart() {
			c.send(work())
		}
	}
}

// all returns the requests that have ended.
func (c *client) all() []request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []request
	for _, r := range c.requests {
		if !r.ended.IsZero() {
			out = append(out, *r)
		}
	}
	return out
}

// readiness asks a machine's node each second whether it is ready, as the platform does.
type readiness struct {
	machine *machine
	mu      sync.Mutex
	misses  int
}

func (m *machine) ready() bool {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ip + ":" + portReadiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return true
		}
	}
	return false
}

// poll asks until stop is closed.
func (r *readiness) poll(stop <-chan struct{}) {
	for {
		ok := r.machine.ready()
		r.mu.Lock()
		r.misses++
		if ok {
			r.misses = 0
		}
		r.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// in reports whether the platform counts the node as ready.
func (r *readiness) in() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses < 2
}

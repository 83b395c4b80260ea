package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how a request ended for its client.
type outcome string

const (
	answered outcome = "answered"
	// closedUnread is a connection that could not be opened or on which the whole request could not
	// be sent.
	closedUnread outcome = "not sent"
	// closed is a connection that ended without a complete answer after the whole request was sent.
	closed outcome = "closed without an answer"
	// silentEnd is a request without an answer at the client's deadline.
	silentEnd outcome = "no answer at the deadline"
)

// attempt is one request of a client.
type attempt struct {
	id      string
	machine string
	path    string
	sentAt  time.Time
	endedAt time.Time
	status  int
	body    string
	outcome outcome
}

// request is what a client sends.
type request struct {
	method, host, path string
	body               []byte
	deadline           time.Duration
}

var attempts atomic.Int64 // numbers the attempts of all clients

// client sends one request after the other on a kept connection of its machine's node.
type client struct {
	machine *machine
	record  *record
	conn    net.Conn
	in      *bufio.Reader
}

// dialTimeout is how long a client waits for a new connection.
const dialTimeout = time.Second

// send sends a request and waits for its end.
func (c *client) send(r request) attempt {
	a := attempt{id: fmt.Sprintf("%016x", 0x1c41d07be2a00000+attempts.Add(1)), machine: c.machine.name, path: r.path}
	c.exchange(r, &a)
	a.endedAt = time.Now()
	if a.outcome != answered {
		c.close()
	}
	c.record.line("client at %s: %s %s %s: %s, status %d, after %d ms", a.machine, r.method, r.path, a.id, a.outcome, a.status, a.endedAt.Sub(a.sentAt).Milliseconds())
	return a
}

func (c *client) exchange(r request, a *attempt) {
	a.sentAt = time.Now()
	a.outcome = closedUnread
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.outbound(), dialTimeout)
		if err != nil {
			return
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	a.sentAt = time.Now()
	if c.conn.SetDeadline(a.sentAt.Add(r.deadline)) != nil {
		return
	}
	if _, err := c.conn.Write(encode(r, a.id)); err != nil {
		return
	}
	a.outcome = closed
	response, err := http.ReadResponse(c.in, &http.Request{Method: r.method})
	if err == nil {
		defer func() { _ = response.Body.Close() }() // it was read
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.body = string(body)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.outcome = silentEnd
	case err == nil:
		a.outcome, a.status = answered, response.StatusCode
		if response.Close {
			c.close()
		}
	}
}

func encode(r request, id string) []byte {
	var b bytes.Buffer
	b.Grow(len(r.body) + 512)
	b.WriteString(r.method + " " + r.path + " HTTP/1.1\r\nHost: " + r.host + "\r\n")
	b.WriteString(headerID + ": " + id + "\r\n")
	b.WriteString(headerDeadline + ": " + strconv.FormatInt(r.deadline.Milliseconds(), 10) + "\r\n")
	if len(r.body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	return b.Bytes()
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // nothing more is read
		c.conn = nil
	}
}

// crowd is a number of clients that send requests until it is ended.
type crowd struct {
	ended   chan struct{}
	waiting sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
}

// startCrowd starts clients at a machine. Each sends a request, waits for its end and a pause.
func startCrowd(r *record, m *machine, clients int, pause time.Duration, next func() request) *crowd {
	return startGatedCrowd(r, m, clients, pause, next, func(*machine) bool { return true })
}

// startStep is the time between the starts of two clients of a crowd.
const startStep = 29 * time.Millisecond

// startGatedCrowd starts clients that send only while their machine gets work.
func startGatedCrowd(r *record, m *machine, clients int, pause time.Duration, next func() request, getsWork func(*machine) bool) *crowd {
	c := &crowd{ended: make(chan struct{})}
	for number := range clients {
		c.waiting.Go(func() {
			one := &client{machine: m, record: r}
			defer one.close()
			time.Sleep(time.Duration(number) * startStep)
			for !c.over(pause) {
				if !getsWork(m) {
					continue
				}
				a := one.send(next())
				c.mu.Lock()
				c.attempts = append(c.attempts, a)
				c.mu.Unlock()
			}
		})
	}
	return c
}

// over waits for a pause and reports whether the crowd was ended.
func (c *crowd) over(pause time.Duration) bool {
	select {
	case <-c.ended:
		return true
	case <-time.After(pause):
		return false
	}
}

// end stops the clients and returns all their attempts.
func (c *crowd) end() []attempt {
	close(c.ended)
	c.waiting.Wait()
	return c.attempts
}

// tally counts attempts by their ends.
func tally(all []attempt) string {
	counts := make(map[string]int)
	for _, a := range all {
		key := string(a.outcome)
		if a.outcome == answered {
			key = strconv.Itoa(a.status)
		}
		counts[key]++
	}
	var parts []string
	for key, count := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", key, count))
	}
	return strings.Join(parts, ", ")
}

package ingress

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/message"
)

const (
	// pipelineMax bounds the requests of one connection that run side by side.
	pipelineMax = 64
	// writeTimeout bounds the writing of one answer to a client that reads slowly.
	writeTimeout = 10 * time.Second
	// readBufferBytes holds a usual head and small body.
	readBufferBytes = 2 << 10
)

// conn is one connection of a client.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitedReader
	in     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	room    *sync.Cond
	waiting []*exchange // in the order of arrival
	writing bool
	ended   bool // nothing more may be written
}

// exchange is one request that waits for its answer.
type exchange struct {
	head   bool // HEAD: the answer has no body
	last   bool // the connection ends with its answer
	answer *message.Answer
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, raw: raw, limit: &limitedReader{source: raw}, ctx: ctx, cancel: cancel}
	c.in = bufio.NewReaderSize(c.limit, readBufferBytes)
	c.room = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends. Requests of a client that has
// gone are cancelled.
func (c *conn) run() {
	defer func() {
		c.cancel()
		c.end()
	}()
	for {
		if !c.awaitRequest() {
			return
		}
		r, last, refused := c.readRequest()
		if r == nil && refused == nil {
			return
		}
		e := &exchange{last: last}
		if !c.begin(e) {
			return
		}
		if refused != nil {
			e.last = true
			c.finish(e, refused)
			c.awaitEnd()
			return
		}
		e.head = r.Method == "HEAD"
		go c.serve(e, r)
		if last {
			c.awaitEnd()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. An idle connection ends
// after the idle time.
func (c *conn) awaitRequest() bool {
	if c.in.Buffered() > 0 {
		return true
	}
	for {
		c.limit.remaining = unlimited
		_ = c.raw.SetReadDeadline(time.Now().Add(c.server.config.Limits().IdleTimeout)) // fails only on a closed connection
		_, err := c.in.Peek(1)
		if err == nil {
			return true
		}
		if !isTimeout(err) || c.outstanding() == 0 {
			return false
		}
	}
}

func (c *conn) serve(e *exchange, r *message.Request) {
	c.finish(e, c.server.config.Handler(c.ctx, r))
}

// begin puts a request in line. It waits while too many are in line, and takes
// none once the connection has ended.
func (c *conn) begin(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) >= pipelineMax && !c.ended {
		c.room.Wait()
	}
	if c.ended {
		return false
	}
	c.waiting = append(c.waiting, e)
	return true
}

// finish gives a request its answer and writes every answer that is due.
func (c *conn) finish(e *exchange, a *message.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.answer = a
	for !c.writing && !c.ended && len(c.waiting) > 0 && c.waiting[0].answer != nil {
		next := c.waiting[0]
		c.writing = true
		c.mu.Unlock()
		closes, err := c.write(next)
		c.mu.Lock()
		c.writing = false
		if c.ended {
			return // the client left meanwhile, and nobody is in line any more
		}
		c.waiting = c.waiting[1:]
		if closes || err != nil {
			c.ended = true
			_ = c.raw.Close() // the client has what it gets
		}
		c.room.Broadcast()
	}
}

func (c *conn) write(e *exchange) (closes bool, err error) {
	closes = e.last || c.server.leaving.Load()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	_, err = c.raw.Write(encode(e.answer, e.head, closes))
	return closes, err
}

// outstanding returns the number of requests in line.
func (c *conn) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// awaitEnd waits until the last answer is written. Meanwhile it watches for the
// client's end.
func (c *conn) awaitEnd() {
	c.limit.remaining = unlimited
	_ = c.raw.SetReadDeadline(time.Time{}) // fails only on a closed connection
	for {
		if _, err := c.in.Discard(1); err != nil {
			return
		}
	}
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.waiting = nil
	c.room.Broadcast()
	_ = c.raw.Close() // may be closed already
}

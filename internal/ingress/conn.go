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
	// lingerTime is the time for which a connection whose last answer is written is read
	// on: closing it with unread bytes could cost the client that answer. The client
	// has the answer within a round trip.
	lingerTime = 500 * time.Millisecond
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
	closing bool // no further request is taken
	ended   bool // nothing more may be written
	linger  *time.Timer
}

// exchange is one request that waits for its answer.
type exchange struct {
	head   bool // HEAD: the answer has no body
	last   bool // the connection ends with its answer
	answer *message.Response
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
			c.awaitEnd()
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
// none once the last answer of the connection is due.
func (c *conn) begin(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.waiting) >= pipelineMax && !c.closing {
		c.room.Wait()
	}
	if c.closing {
		return false
	}
	c.waiting = append(c.waiting, e)
	return true
}

// finish gives a request its answer and writes every answer that is due.
func (c *conn) finish(e *exchange, a *message.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.answer = a
	for !c.writing && !c.ended && len(c.waiting) > 0 && c.waiting[0].answer != nil {
		next := c.waiting[0]
		// In a stop the answer to the last request in line closes the connection: one
		// before it would cut off those behind, which may run already.
		c.closing = c.closing || next.last || c.server.leaving.Load() && len(c.waiting) == 1
		closes := c.closing && len(c.waiting) == 1
		c.writing = true
		c.mu.Unlock()
		err := c.write(next, closes)
		c.mu.Lock()
		c.writing = false
		if c.ended {
			return // the client left meanwhile, and nobody is in line any more
		}
		c.waiting = c.waiting[1:]
		switch {
		case err != nil:
			c.stop()
		case closes:
			c.ended = true
			c.closeWrite()
		}
		c.room.Broadcast()
	}
}

func (c *conn) write(e *exchange, closes bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	_, err := c.raw.Write(encode(e.answer, e.head, closes))
	return err
}

// closeWrite ends the answers of a connection. The client ends the other way.
func (c *conn) closeWrite() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.raw.Close() // the client has what it gets
		return
	}
	c.linger = time.AfterFunc(lingerTime, func() { _ = c.raw.Close() }) // it may be closed already
}

// leave takes no further request, and ends an idle connection. One whose last answer is
// just written is the client's to end.
func (c *conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.room.Broadcast()
	if len(c.waiting) == 0 && !c.ended {
		_ = c.raw.Close() // its loop ends and removes it
	}
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

// end closes the connection at once.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	if c.linger != nil {
		c.linger.Stop()
	}
}

// stop ends the connection, whatever is in line. The lock is held.
func (c *conn) stop() {
	c.closing, c.ended = true, true
	c.waiting = nil
	c.room.Broadcast()
	_ = c.raw.Close() // may be closed already
}

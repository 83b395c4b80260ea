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
	// pipelineMax limits the requests of one connection that run concurrently.
	pipelineMax = 64
	// writeTimeout limits the time to write one response to a client that reads slowly.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a connection is still read after its last response was written.
	// Closing it with unread bytes sends a reset, which can discard the response before the
	// client reads it. The client receives the response within a round trip.
	lingerTime = 500 * time.Millisecond
	// readBufferBytes is enough for a typical head with a small body.
	readBufferBytes = 2 << 10
)

// conn is one client connection.
type conn struct {
	server *Server
	raw    net.Conn
	limit  *limitedReader
	in     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	queueChanged *sync.Cond
	queue        []*exchange // in order of arrival
	writing      bool
	closing      bool // no further request is accepted
	ended        bool // nothing more may be written
	lingerTimer  *time.Timer
}

// exchange is one request that waits for its response.
type exchange struct {
	isHead   bool // the request method is HEAD, so the response has no body
	last     bool // the connection is closed after the response
	response *message.Response
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, raw: raw, limit: &limitedReader{source: raw}, ctx: ctx, cancel: cancel}
	c.in = bufio.NewReaderSize(c.limit, readBufferBytes)
	c.queueChanged = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends. Requests of a client that disconnected are
// cancelled.
func (c *conn) run() {
	defer func() {
		c.cancel()
		c.closeNow()
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
		if !c.enqueue(e) {
			c.awaitClose()
			return
		}
		if refused != nil {
			e.last = true
			c.respond(e, refused)
			c.awaitClose()
			return
		}
		e.isHead = r.Method == "HEAD"
		go c.serve(e, r)
		if last {
			c.awaitClose()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// ended or exceeded its idle timeout.
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
	c.respond(e, c.server.config.Handler(c.ctx, r))
}

// enqueue adds a request to the queue. It waits while the queue is full, and returns false
// if the connection is closing.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) >= pipelineMax && !c.closing {
		c.queueChanged.Wait()
	}
	if c.closing {
		return false
	}
	c.queue = append(c.queue, e)
	return true
}

// respond sets the response to a request and writes every response whose turn it is in the queue.
func (c *conn) respond(e *exchange, a *message.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response = a
	for !c.writing && !c.ended && len(c.queue) > 0 && c.queue[0].response != nil {
		next := c.queue[0]
		// Without keep-alives the response to the last queued request closes the connection.
		// Closing it earlier would drop the requests behind, which may be running already.
		c.closing = c.closing || next.last || c.server.keepAlivesDisabled.Load() && len(c.queue) == 1
		closes := c.closing && len(c.queue) == 1
		c.writing = true
		c.mu.Unlock()
		err := c.writeResponse(next, closes)
		c.mu.Lock()
		c.writing = false
		if c.ended {
			return // the client disconnected meanwhile, which emptied the queue
		}
		c.queue = c.queue[1:]
		switch {
		case err != nil:
			c.closeLocked()
		case closes:
			c.ended = true
			c.closeWrite()
		}
		c.queueChanged.Broadcast()
	}
}

func (c *conn) writeResponse(e *exchange, closes bool) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	_, err := c.raw.Write(encode(e.response, e.isHead, closes))
	return err
}

// closeWrite closes the sending side of a connection. The client closes the other side.
func (c *conn) closeWrite() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		_ = c.raw.Close() // all responses are written
		return
	}
	c.lingerTimer = time.AfterFunc(lingerTime, func() { _ = c.raw.Close() }) // may be closed already
}

// drain stops accepting requests and closes an idle connection. After the last response was
// written, the client closes the connection.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.queueChanged.Broadcast()
	if len(c.queue) == 0 && !c.ended {
		_ = c.raw.Close() // makes run return, which removes the connection
	}
}

// outstanding returns the number of queued requests.
func (c *conn) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue)
}

// awaitClose discards input until the connection is closed, after its last response or by the
// client.
func (c *conn) awaitClose() {
	c.limit.remaining = unlimited
	_ = c.raw.SetReadDeadline(time.Time{}) // fails only on a closed connection
	for {
		if _, err := c.in.Discard(1); err != nil {
			return
		}
	}
}

// closeNow closes the connection immediately.
func (c *conn) closeNow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
	if c.lingerTimer != nil {
		c.lingerTimer.Stop()
	}
}

// closeLocked closes the connection and drops its queue. The caller holds c.mu.
func (c *conn) closeLocked() {
	c.closing, c.ended = true, true
	c.queue = nil
	c.queueChanged.Broadcast()
	_ = c.raw.Close() // may be closed already
}

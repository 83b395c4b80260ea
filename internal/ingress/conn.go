package ingress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/memory"
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
	source *source
	in     *bufio.Reader // of source
	ctx    context.Context
	cancel context.CancelFunc
	// memory is what the connection holds: its requests while they arrive, run and are answered.
	memory *memory.Holder

	mu           sync.Mutex
	queueChanged *sync.Cond
	queue        []*exchange // in order of arrival
	writing      bool
	paused       bool // reading waits for the memory of the connection's own requests
	evicted      bool // the memory of the request that arrives is needed for others
	reading      bool // a request has begun to arrive
	closing      bool // no further request is accepted
	lastWritten  bool // the response that closes the connection was written, or is being written
	ended        bool // nothing more may be written
	lingerTimer  *time.Timer
}

// exchange is one request that waits for its response.
type exchange struct {
	request  *message.Request // of its handler; nil if it was not read whole
	id       string           // of the request, empty if it was not read whole
	last     bool             // the connection is closed after the response
	late     bool             // it arrived while the connection was being closed
	response *message.Response
	cancel   context.CancelFunc // ends the handler
	memory   *memory.Lease      // held until the exchange has left the queue
}

// connectionBytes is what a connection takes besides its requests: its goroutine and buffers.
const connectionBytes = 8 << 10

// progress records when a peer last sent or read anything, by the monotonic clock: steps of the time
// of day must not make a peer look stalled.
type progress struct {
	startedAt time.Time
	at        atomic.Int64 // in ns since startedAt
}

func (p *progress) record() { p.at.Store(int64(time.Since(p.startedAt))) }

// age returns the time since the last progress.
func (p *progress) age() time.Duration {
	return time.Since(p.startedAt) - time.Duration(p.at.Load())
}

// isHead reports whether the response has no body because the method is HEAD.
func (e *exchange) isHead() bool {
	return e.request != nil && e.request.Method == http.MethodHead
}

func newConn(s *Server, raw net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, raw: raw, ctx: ctx, cancel: cancel, memory: s.config.Memory.NewConnection()}
	c.source = &source{raw: raw, progress: progress{startedAt: time.Now()}}
	c.in = bufio.NewReaderSize(c.source, readBufferBytes)
	c.queueChanged = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends. Requests of a client that disconnected are
// cancelled.
func (c *conn) run() {
	own := c.memory.NewLease()
	_ = own.TryGrow(connectionBytes) // within the reserve of the connection
	defer func() {
		c.cancel()
		c.closeNow()
		own.Release()
	}()
	for c.awaitRequest() {
		if !c.acceptRequest() {
			return
		}
	}
}

// acceptRequest reads a request and starts its handler. It returns false if no further request is
// read from the connection, which has ended then.
func (c *conn) acceptRequest() bool {
	lease := c.memory.NewLease()
	r, last, refused := c.readRequest(lease)
	if r == nil && refused == nil {
		lease.Release()
		return false
	}
	if r == nil {
		lease.Release() // what was read of it is dropped
		lease = c.memory.NewLease()
	}
	ctx, cancel := context.WithCancel(c.ctx)
	e := &exchange{request: r, last: last, cancel: cancel, memory: lease}
	if r != nil {
		e.id = c.server.config.RequestID(r)
	}
	if !c.enqueue(e) {
		cancel()
		lease.Release()
		c.awaitClose()
		return false
	}
	if e.late {
		refused = c.server.config.NotRead()
	}
	if refused != nil {
		c.respond(e, refused)
		c.awaitClose()
		return false
	}
	lease.Retain()
	go c.serve(ctx, e)
	if last {
		c.awaitClose()
		return false
	}
	return true
}

// grow charges memory for a request that arrives. If memory is short while earlier requests of
// the connection run, it waits for theirs, so that the client waits to send more.
func (c *conn) grow(lease *memory.Lease, n int) bool {
	for !lease.TryGrow(n) {
		if !c.awaitOwnRequest() {
			return lease.Grow(n)
		}
	}
	return true
}

// awaitOwnRequest waits until a request of the connection has been answered. It returns false at
// once if there is none.
func (c *conn) awaitOwnRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := len(c.queue)
	if count == 0 || c.closing {
		return false
	}
	c.paused = true
	for len(c.queue) == count && !c.closing {
		c.queueChanged.Wait()
	}
	c.paused = false
	c.source.progress.record() // the client was not read meanwhile
	return true
}

// awaitRequest waits for the first byte of a request. It returns false if the connection
// ended or exceeded its idle timeout.
func (c *conn) awaitRequest() bool {
	if c.in.Buffered() > 0 || len(c.source.replay) > 0 {
		c.setReading(true)
		return true
	}
	c.setReading(false)
	for {
		c.setReadTimeout(c.server.config.Limits().IdleTimeout)
		_, err := c.in.Peek(1)
		if err == nil {
			c.setReading(true)
			return true
		}
		if !isTimeout(err) || c.outstanding() == 0 {
			return false
		}
	}
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

func (c *conn) serve(ctx context.Context, e *exchange) {
	defer e.cancel()
	response := c.server.config.Handler(ctx, e.request)
	e.memory.Release() // before the exchange leaves the queue, for whom waits for that
	c.respond(e, response)
}

// enqueue adds a request to the queue. It waits while the queue is full, and returns false
// if the connection closes without a further response.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.evicted = false, false
	for len(c.queue) >= pipelineMax && !c.closing {
		c.queueChanged.Wait()
	}
	if c.lastWritten || c.ended {
		return false
	}
	e.late = c.closing
	c.queue = append(c.queue, e)
	return true
}

// respond sets the response to a request, unless it was interrupted, and writes every response
// whose turn it is.
func (c *conn) respond(e *exchange, a *message.Response) {
	c.setResponse(e, a)
	c.writeReady()
}

// setResponse sets the response to a request unless it has one.
func (c *conn) setResponse(e *exchange, a *message.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.response == nil {
		e.response = a
	}
}

// writeReady writes every response whose turn it is in the queue.
func (c *conn) writeReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.writing && !c.ended && len(c.queue) > 0 && c.queue[0].response != nil {
		next := c.queue[0]
		// Without keep-alives the response to the last queued request closes the connection.
		// Closing it earlier would drop the requests behind, which may be running already.
		c.closing = c.closing || next.last || c.server.keepAlivesDisabled.Load() && len(c.queue) == 1 && !c.reading
		closes := c.closing && len(c.queue) == 1 && !c.reading
		c.lastWritten = c.lastWritten || closes
		c.writing = true
		c.mu.Unlock()
		err := c.writeResponse(next, closes)
		c.mu.Lock()
		c.writing = false
		if c.ended {
			return // the client disconnected meanwhile, which emptied the queue
		}
		c.queue[0] = nil
		c.queue = c.queue[1:]
		next.memory.Release()
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
	c.source.progress.record()
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection
	head := encodeHead(e.response, closes)
	body := e.response.Body
	if e.isHead() {
		body = nil
	}
	if len(body) > 0 && len(body[0]) <= message.PieceBytes {
		head.Write(body[0]) // with the head in one packet
		body = body[1:]
	}
	if _, err := head.WriteTo(c.raw); err != nil {
		return err
	}
	for _, piece := range body {
		c.source.progress.record()
		if _, err := c.raw.Write(piece); err != nil {
			return err
		}
	}
	return nil
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

// drain stops accepting requests and closes an idle connection. A request that is still
// arriving is refused. After the last response was written, the client closes the connection.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.queueChanged.Broadcast()
	switch {
	case c.ended:
	case c.reading:
		_ = c.raw.SetReadDeadline(time.Now()) // makes readRequest return
	case len(c.queue) == 0:
		_ = c.raw.Close() // makes run return, which removes the connection
	}
}

// setReadTimeout bounds the time of the following reads. A closing connection reads no more.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && c.reading || c.evicted {
		timeout = 0
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
}

// isClosing reports whether the connection accepts no further request.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
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
	for _, e := range c.queue {
		e.memory.Release()
	}
	c.queue = nil
	c.queueChanged.Broadcast()
	_ = c.raw.Close() // may be closed already
}

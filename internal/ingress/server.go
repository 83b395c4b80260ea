// Package ingress serves HTTP/1.1 connections from clients and the local endpoint. Unlike
// http.Server it keeps reading while requests run: pipelined requests run concurrently,
// responses are written in request order, and a closed connection is detected immediately.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeaderBytes is the largest head of a request.
	HeaderBytes int
	// BodyBytes is the largest body of a request.
	BodyBytes int64
	// HeaderTimeout is the time from a request's first byte to the end of its head.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Handler answers a request. ctx is cancelled when the client disconnects.
type Handler func(ctx context.Context, r *message.Request) *message.Response

// Config configures a Server.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// Handler answers requests.
	Handler Handler
	// RequestID returns the ID of a request. It is called before the handler, which may change the
	// request.
	RequestID func(r *message.Request) string
	// Interrupted returns the response to the request with an ID whose handler is interrupted, and
	// which may be running.
	Interrupted func(id string) *message.Response
	// NotRead returns the response to a request that the server closes on before it has read it.
	NotRead func() *message.Response
	// NoMemory returns the response to a request that was not read whole for lack of memory.
	NoMemory func() *message.Response
	// Memory is what requests and their answers are charged to.
	Memory *memory.Budget
	// ConnectionsMax is the number of connections that may be open.
	ConnectionsMax int
}

// Server serves connections until it is closed.
type Server struct {
	config             Config
	keepAlivesDisabled atomic.Bool

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	group  sync.WaitGroup
}

// New returns a server.
func New(c Config) *Server {
	return &Server{config: c, conns: make(map[*conn]struct{})}
}

// acceptPause is the delay after a failed accept, for example without free file descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		if !s.makeRoom() {
			_ = raw.Close() // nothing was read from the client
			continue
		}
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close() // the server is closed and has read nothing from the client
			return nil
		}
		go func() {
			defer s.remove(c)
			c.run()
		}()
	}
}

func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.group.Add(1)
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.group.Done()
}

// DisableKeepAlives makes each connection close after the next response that leaves its queue
// empty.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// InFlight returns the number of requests that were read and not yet answered.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for c := range s.conns {
		count += c.outstanding()
	}
	return count
}

// Close closes every connection: idle ones immediately, others when their queued requests
// are answered or the timeout expires.
func (s *Server) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	timer := time.AfterFunc(timeout, s.closeAll)
	defer timer.Stop()
	s.group.Wait()
}

// closeAll closes every connection immediately.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close() // makes run return, which removes the connection
	}
}

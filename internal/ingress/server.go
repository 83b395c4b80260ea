// Package ingress serves HTTP/1.1 connections of clients and of the local
// endpoint. Unlike http.Server it reads on while requests run: pipelined
// requests run side by side, answers go back in order, and a closed connection
// is noticed at once.
package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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

// Handler answers a request. ctx ends when the client has gone.
type Handler func(ctx context.Context, r *message.Request) *message.Response

// Config is what a Server needs.
type Config struct {
	// Limits returns the limits in force.
	Limits func() Limits
	// Handler answers requests.
	Handler Handler
}

// Server serves connections until it is closed.
type Server struct {
	config  Config
	leaving atomic.Bool

	mu     sync.Mutex
	conns  map[*conn]struct{}
	closed bool
	group  sync.WaitGroup
}

// New returns a server.
func New(c Config) *Server {
	return &Server{config: c, conns: make(map[*conn]struct{})}
}

// acceptPause is the wait after a failed accept, as when descriptors run out.
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
		c := newConn(s, raw)
		if !s.add(c) {
			_ = raw.Close() // the server is closed; the client has sent nothing that was read
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

// DisableKeepAlives makes every further answer the last one of its connection.
func (s *Server) DisableKeepAlives() {
	s.leaving.Store(true)
}

// InFlight returns the number of requests that wait for their answer.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := 0
	for c := range s.conns {
		busy += c.outstanding()
	}
	return busy
}

// Close closes every connection: idle ones at once, those with requests in line once
// these are answered or patience is over.
func (s *Server) Close(patience time.Duration) {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.leave()
	}
	s.mu.Unlock()
	late := time.AfterFunc(patience, s.cut)
	defer late.Stop()
	s.group.Wait()
}

// cut ends every connection at once.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.raw.Close() // its loop ends and removes it
	}
}

// Package testnet makes network faults for tests of packages that listen.
package testnet

import (
	"net"
	"sync/atomic"
	"time"
)

// poll is the time between two looks whether a listener still stands still.
const poll = time.Millisecond

// StallingListener is a listener whose connections pass nothing on while it stands still,
// as those of a process that is stopped or cut off.
type StallingListener struct {
	net.Listener
	still atomic.Bool
}

// NewStallingListener wraps a listener.
func NewStallingListener(l net.Listener) *StallingListener {
	return &StallingListener{Listener: l}
}

// SetStalled lets the listener stand still, or go on.
func (s *StallingListener) SetStalled(still bool) {
	s.still.Store(still)
}

// Accept returns the next connection.
func (s *StallingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return conn{c, s}, err
}

type conn struct {
	net.Conn
	listener *StallingListener
}

// Read returns what came once the listener goes on.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.listener.still.Load() {
		time.Sleep(poll)
	}
	return n, err
}

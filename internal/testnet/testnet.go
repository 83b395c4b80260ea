// Package testnet makes network faults for tests of packages that listen.
package testnet

import (
	"net"
	"sync/atomic"
	"time"
)

// poll is the time between two looks whether a listener still stands still.
const poll = time.Millisecond

// Standstill is a listener whose connections pass nothing on while it stands still,
// as those of a process that is stopped or cut off.
type Standstill struct {
	net.Listener
	still atomic.Bool
}

// NewStandstill wraps a listener.
func NewStandstill(l net.Listener) *Standstill {
	return &Standstill{Listener: l}
}

// Set lets the listener stand still, or go on.
func (s *Standstill) Set(still bool) {
	s.still.Store(still)
}

// Accept returns the next connection.
func (s *Standstill) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return conn{c, s}, err
}

type conn struct {
	net.Conn
	listener *Standstill
}

// Read returns what came once the listener goes on.
func (c conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.listener.still.Load() {
		time.Sleep(poll)
	}
	return n, err
}

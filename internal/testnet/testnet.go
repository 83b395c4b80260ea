// Package testnet injects network faults into listeners in tests.
package testnet

import (
	"net"
	"sync/atomic"
	"time"
)

// pollInterval is the time between two checks of whether a listener is stalled.
const pollInterval = time.Millisecond

// StallingListener is a listener whose connections return no data while it is stalled,
// like those of a process that is frozen or partitioned.
type StallingListener struct {
	net.Listener
	stalled atomic.Bool
}

// NewStallingListener wraps a listener.
func NewStallingListener(l net.Listener) *StallingListener {
	return &StallingListener{Listener: l}
}

// SetStalled stalls or resumes the listener's connections.
func (s *StallingListener) SetStalled(stalled bool) {
	s.stalled.Store(stalled)
}

// Accept returns the next connection.
func (s *StallingListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return stallingConn{c, s}, err
}

type stallingConn struct {
	net.Conn
	listener *StallingListener
}

// Read returns the received data once the listener is not stalled.
func (c stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for err == nil && c.listener.stalled.Load() {
		time.Sleep(pollInterval)
	}
	return n, err
}

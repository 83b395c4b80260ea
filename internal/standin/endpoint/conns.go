package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/wait"
)

// limitListener closes connections over a limit at accept and keeps track of
// the open ones.
type limitListener struct {
	net.Listener

	limit   int
	onLimit func()
	refused atomic.Uint64

	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	silenced []*trackedConn
}

func newLimitListener(l net.Listener, limit int, onLimit func()) *limitListener {
	return &limitListener{Listener: l, limit: limit, onLimit: onLimit, open: map[*trackedConn]struct{}{}}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t := l.track(c); t != nil {
			return t, nil
		}
		_ = c.Close() // the peer sees the refusal
		l.refused.Add(1)
		l.onLimit()
	}
}

func (l *limitListener) track(c net.Conn) *trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return nil
	}
	t := &trackedConn{Conn: c, listener: l, changed: make(chan struct{})}
	l.open[t] = struct{}{}
	return t
}

func (l *limitListener) forget(t *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, t)
}

// openCount returns the number of open connections that still answer.
func (l *limitListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// silence makes all open connections stop answering for good and returns their
// number. They no longer count towards the limit.
func (l *limitListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.open)
	for t := range l.open {
		t.silence()
		l.silenced = append(l.silenced, t)
	}
	l.open = map[*trackedConn]struct{}{}
	return n
}

// closeSilenced frees the silent connections when the process ends.
func (l *limitListener) closeSilenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.silenced {
		_ = t.Conn.Close() // the peer may have closed it long ago
	}
	l.silenced = nil
}

// trackedConn is a connection that can go silent: from then on it reads
// nothing, swallows what is written, and hides its end from the peer.
type trackedConn struct {
	net.Conn

	listener *limitListener
	served   atomic.Bool // a request came on it

	mu       sync.Mutex
	silent   bool
	closed   bool
	deadline time.Time
	changed  chan struct{} // closed when one of the fields above changes
}

func (t *trackedConn) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
	t.wake()
}

func (t *trackedConn) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *trackedConn) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent
}

// Read reads, or waits for the deadline or the close of a silent connection.
func (t *trackedConn) Read(b []byte) (int, error) {
	if !t.isSilent() {
		n, err := t.Conn.Read(b)
		if !t.isSilent() || isTimeout(err) {
			return n, err
		}
	}
	return 0, t.waitSilent()
}

// waitSilent returns when a silent connection is closed on this side or its
// read deadline passes.
func (t *trackedConn) waitSilent() error {
	for {
		t.mu.Lock()
		closed, deadline, changed := t.closed, t.deadline, t.changed
		t.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if !waitUntil(deadline, changed) {
			return errDeadline
		}
	}
}

// waitUntil waits for changed, and returns false when the deadline comes first.
func waitUntil(deadline time.Time, changed <-chan struct{}) bool {
	if deadline.IsZero() {
		<-changed
		return true
	}
	return wait.ForDone(changed, time.Until(deadline))
}

// Write writes, or swallows what a silent connection would send.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.isSilent() {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// SetDeadline sets the deadlines of reads and writes.
func (t *trackedConn) SetDeadline(at time.Time) error {
	t.noteDeadline(at)
	return t.Conn.SetDeadline(at)
}

// SetReadDeadline sets the deadline of reads.
func (t *trackedConn) SetReadDeadline(at time.Time) error {
	t.noteDeadline(at)
	return t.Conn.SetReadDeadline(at)
}

func (t *trackedConn) noteDeadline(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline = at
	t.wake()
}

// Close closes the connection. A silent one stays open towards the peer, which
// must not learn of the end.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	silent := t.silent
	t.closed = true
	t.wake()
	t.mu.Unlock()
	if silent {
		return nil
	}
	t.listener.forget(t)
	return t.Conn.Close()
}

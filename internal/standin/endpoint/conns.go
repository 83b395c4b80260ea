package endpoint

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/wait"
)

// limitListener closes connections over a limit on accept and tracks the open ones.
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

// Accept returns the next connection within the limit. It closes further ones.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t := l.track(c); t != nil {
			return t, nil
		}
		_ = c.Close() // the peer sees a closed connection
		l.refused.Add(1)
		l.onLimit()
	}
}

// track adds a connection to the open ones, or returns nil at the limit.
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

func (l *limitListener) untrack(t *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, t)
}

// openCount returns the number of open connections, without silenced ones.
func (l *limitListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// silence makes all open connections permanently unresponsive and returns their
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

// closeSilenced closes the silenced connections when the endpoint stops.
func (l *limitListener) closeSilenced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.silenced {
		_ = t.Conn.Close() // the peer may have closed it already
	}
	l.silenced = nil
}

// trackedConn is a connection that can be silenced: it then reads nothing, discards
// written data and keeps the connection to the peer open after Close.
type trackedConn struct {
	net.Conn

	listener *limitListener
	used     atomic.Bool // a request was received on it

	mu       sync.Mutex
	silent   bool
	closed   bool
	deadline time.Time     // of reads
	changed  chan struct{} // closed when one of the fields above changes
}

func (t *trackedConn) silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = true
	t.notify()
}

// notify wakes all reads that wait for a change. t.mu must be held.
func (t *trackedConn) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *trackedConn) isSilent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silent
}

// Read reads from the connection. On a silent one it waits until Close or the read
// deadline.
func (t *trackedConn) Read(b []byte) (int, error) {
	if !t.isSilent() {
		n, err := t.Conn.Read(b)
		if !t.isSilent() || isTimeout(err) {
			return n, err
		}
	}
	return 0, t.waitSilent()
}

// waitSilent waits until a silent connection is closed locally or its read deadline
// passes, and returns the corresponding error.
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

// waitUntil waits for changed. It returns false if the deadline passes first.
func waitUntil(deadline time.Time, changed <-chan struct{}) bool {
	if deadline.IsZero() {
		<-changed
		return true
	}
	return wait.ForDone(changed, time.Until(deadline))
}

// Write writes to the connection. On a silent one it discards the data.
func (t *trackedConn) Write(b []byte) (int, error) {
	if t.isSilent() {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// SetDeadline sets the read and write deadlines.
func (t *trackedConn) SetDeadline(deadline time.Time) error {
	t.storeReadDeadline(deadline)
	return t.Conn.SetDeadline(deadline)
}

// SetReadDeadline sets the read deadline.
func (t *trackedConn) SetReadDeadline(deadline time.Time) error {
	t.storeReadDeadline(deadline)
	return t.Conn.SetReadDeadline(deadline)
}

func (t *trackedConn) storeReadDeadline(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deadline = at
	t.notify()
}

// Close closes the connection. A silent one remains open to the peer, which must
// not detect the close.
func (t *trackedConn) Close() error {
	t.mu.Lock()
	silent := t.silent
	t.closed = true
	t.notify()
	t.mu.Unlock()
	if silent {
		return nil
	}
	t.listener.untrack(t)
	return t.Conn.Close()
}

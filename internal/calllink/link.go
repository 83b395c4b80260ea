package calllink

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/decision/reach"
	"github.com/galenacart/galenacart/internal/socket"
)

// Path is the HTTP path at which a node accepts links.
const Path = "/galenacart/calls"

const (
	// dialTimeout limits the time to open a link.
	dialTimeout = 700 * time.Millisecond
	// redialPause is the time after a failure before the link is opened again.
	redialPause = 300 * time.Millisecond
	// pingAfter is the silence after which a link with pending calls is probed.
	pingAfter = 150 * time.Millisecond
	// unresponsiveAfter is the silence after which a link gets no new calls.
	unresponsiveAfter = 400 * time.Millisecond
	// lostAfter is the silence after which a link is closed and its pending calls are lost.
	lostAfter = 900 * time.Millisecond
)

var (
	errClosed = errors.New("the link is closed")
	// ErrNotSent means that no byte of a call left this node.
	ErrNotSent = errors.New("the call was not sent")
	// ErrReplyLost means that a call was sent and the link closed before its reply.
	ErrReplyLost = errors.New("the link broke before the reply")
)

// Link is the connection to one other node. The first call opens it. After a failure
// Maintain reopens it in the background, so that no call waits for an unreachable node.
type Link struct {
	address       string
	now           func() time.Duration
	state         func() []byte
	recordCrashes func([]quarantine.Loss)

	mu           sync.Mutex
	current      *session
	sessionCount uint64        // sessions opened so far
	dialDone     chan struct{} // closed when the dial in progress ends; nil without one
	failedAt     time.Duration
	failed       bool // the last dial or session failed
	closed       bool
}

// New returns a link to the node at an IP address and port. now is the time since the
// process started. state returns the deployment state, for a node that has just started and
// can't read it from the platform, or nil if there is none. recordCrashes receives the
// endpoint crashes that the other node reports.
func New(address string, now func() time.Duration, state func() []byte, recordCrashes func([]quarantine.Loss)) *Link {
	return &Link{address: address, now: now, state: state, recordCrashes: recordCrashes}
}

// Do sends a call and waits for its reply. The error is ErrNotSent, ErrReplyLost or that of
// ctx; with the latter a cancellation is sent to the other node. A call that is withdrawn
// before it was sent ends with ErrNotSent; the other node replies to a later withdrawal.
func (l *Link) Do(ctx context.Context, call *Call) (*Reply, error) {
	s, err := l.session(ctx, call.Withdrawn)
	if err != nil {
		return nil, err
	}
	return s.request(ctx, &frame{Kind: kindCall, Call: call}, call.Withdrawn)
}

// Unresponsive reports whether calls should go to another node: this one has been silent
// for too long, or the last attempt to reach it failed.
func (l *Link) Unresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return l.failed
	}
	waiting, silence := l.current.awaiting()
	return waiting && silence > unresponsiveAfter || l.current.livenessCheckFailed()
}

// Status returns the observed reachability of the node. ok is false until the
// first dial has ended.
func (l *Link) Status() (status reach.Link, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return reach.Link{}, l.failed
	}
	status.Open = true
	status.AwaitingReply, status.Overdue = l.current.awaiting()
	status.SinceReceived = l.now() - time.Duration(l.current.stream.lastReceived.Load())
	return status, true
}

// Probe sends a ping to the node, also if no call is pending.
func (l *Link) Probe() {
	l.mu.Lock()
	s := l.current
	l.mu.Unlock()
	if s != nil {
		s.ping()
	}
}

// Maintain probes a silent link, closes one that stays silent, and reopens one that failed.
// It is called every few tens of milliseconds.
func (l *Link) Maintain() {
	l.mu.Lock()
	s := l.current
	if s == nil && l.failed && l.dialDone == nil && l.now()-l.failedAt >= redialPause {
		l.startDial()
	}
	l.mu.Unlock()
	if s == nil {
		return
	}
	waiting, silence := s.awaiting()
	switch {
	case !waiting:
	case silence > lostAfter:
		s.stream.close()
	case silence > pingAfter:
		s.ping()
	}
}

// startDial starts to open a session. The caller holds l.mu.
func (l *Link) startDial() {
	l.dialDone = make(chan struct{})
	go l.dial()
}

// Idle reports whether no call is pending.
func (l *Link) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == nil || l.current.pendingCount() == 0
}

// Close closes the link. Pending calls are lost.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current != nil {
		l.current.stream.close()
	}
}

// session returns the open session. While the first dial is in progress it waits, until
// withdrawn is closed.
func (l *Link) session(ctx context.Context, withdrawn <-chan struct{}) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.current == nil {
		if l.failed || l.closed {
			return nil, ErrNotSent
		}
		if l.dialDone == nil {
			l.startDial()
		}
		done := l.dialDone
		l.mu.Unlock()
		waiting := true
		select {
		case <-done:
		case <-ctx.Done():
			waiting = false
		case <-withdrawn:
			waiting = false
		}
		l.mu.Lock()
		if !waiting {
			return nil, ErrNotSent
		}
	}
	return l.current, nil
}

// dial opens a session and wakes the calls that wait for it.
func (l *Link) dial() {
	conn, err := socket.Dial(context.Background(), l.address, Path, dialTimeout, subprotocolPieces)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialDone)
	l.dialDone = nil
	l.failed = err != nil
	if err != nil {
		l.failedAt = l.now()
		return
	}
	if l.closed {
		_ = conn.CloseNow() // the link was closed while dialling
		return
	}
	l.current = newSession(conn, l.now, l.state, l.recordCrashes)
	l.sessionCount++
	go l.readFrames(l.current)
}

// readFrames reads and handles frames until the session ends.
func (l *Link) readFrames(s *session) {
	_ = s.stream.read(l.now, s.handleFrame) // the error is reported to the pending calls
	l.mu.Lock()
	l.current = nil
	l.failed, l.failedAt = true, l.now()
	l.mu.Unlock()
	s.failPending()
}

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

// Path is the path at which a node takes links.
const Path = "/galenacart/calls"

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = 700 * time.Millisecond
	// redialPause is the time after a failure in which no opening is tried.
	redialPause = 300 * time.Millisecond
	// pingAfter is the silence after which a link with open calls is probed.
	pingAfter = 150 * time.Millisecond
	// doubtAfter is the silence after which a link gets no new calls.
	doubtAfter = 400 * time.Millisecond
	// lostAfter is the silence after which the open calls of a link are lost.
	lostAfter = 900 * time.Millisecond
)

var (
	errClosed = errors.New("the link is closed")
	// ErrNotSent means that a call never left this node.
	ErrNotSent = errors.New("the call was not sent")
	// ErrReplyLost means that a call was sent and its reply will not come.
	ErrReplyLost = errors.New("the link broke before the reply")
)

// Link is the way to one other node. It is opened by its first call. After a
// failure Watch opens it again, so that no call waits for a node that is gone.
type Link struct {
	address string
	now     func() time.Duration
	state   func() []byte
	learn   func([]quarantine.Loss)

	mu       sync.Mutex
	current  *session
	sessions uint64 // opened so far
	opening  chan struct{}
	failedAt time.Duration
	failed   bool // the last opening or session
	closed   bool
}

// New returns the way to the node at an IP address and port. now is the time
// since the process started. state returns what this node knows of the deployment,
// for a node that has just started and can't read it; nil stands for nothing. learn
// takes the crashes of endpoints that the other node tells.
func New(address string, now func() time.Duration, state func() []byte, learn func([]quarantine.Loss)) *Link {
	return &Link{address: address, now: now, state: state, learn: learn}
}

// Do sends a call and waits for its reply. The error is ErrUnsent, ErrLost or
// that of ctx; with the latter the other node is told to give the call up.
func (l *Link) Do(ctx context.Context, call *Call) (*Reply, error) {
	s, err := l.session(ctx)
	if err != nil {
		return nil, err
	}
	return s.ask(ctx, &frame{Kind: kindCall, Call: call})
}

// Unresponsive reports whether the node has been silent for so long that a call is
// better sent elsewhere, or could not be reached the last time.
func (l *Link) Unresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return l.failed
	}
	waits, silent := l.current.waiting()
	return waits && silent > doubtAfter || l.current.unproven()
}

// Status returns what the link tells of the way to its node. ok is false for a link
// that was never opened.
func (l *Link) Status() (told reach.Link, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return reach.Link{}, l.failed
	}
	told.Open = true
	told.AwaitingReply, told.Overdue = l.current.waiting()
	told.SinceReceived = l.now() - time.Duration(l.current.stream.came.Load())
	return told, true
}

// Probe asks the node for a sign of life, also if no call waits.
func (l *Link) Probe() {
	l.mu.Lock()
	s := l.current
	l.mu.Unlock()
	if s != nil {
		s.ping()
	}
}

// Maintain probes a silent link, gives up one that stays silent, and opens one that
// failed. It is called every few tens of milliseconds.
func (l *Link) Maintain() {
	l.mu.Lock()
	s := l.current
	if s == nil && l.failed && l.opening == nil && l.now()-l.failedAt >= redialPause {
		l.open()
	}
	l.mu.Unlock()
	if s == nil {
		return
	}
	waits, silent := s.waiting()
	switch {
	case !waits:
	case silent > lostAfter:
		s.stream.close()
	case silent > pingAfter:
		s.ping()
	}
}

// open begins to open a session. It is called under the lock.
func (l *Link) open() {
	l.opening = make(chan struct{})
	go l.dial()
}

// Idle reports whether no call is open.
func (l *Link) Idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == nil || l.current.open() == 0
}

// Close ends the link. Open calls are lost.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current != nil {
		l.current.stream.close()
	}
}

// session returns the open session. The first call waits until there is one.
func (l *Link) session(ctx context.Context) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.current == nil {
		if l.failed || l.closed {
			return nil, ErrNotSent
		}
		if l.opening == nil {
			l.open()
		}
		opened := l.opening
		l.mu.Unlock()
		select {
		case <-opened:
		case <-ctx.Done():
		}
		l.mu.Lock()
		if ctx.Err() != nil {
			return nil, ErrNotSent
		}
	}
	return l.current, nil
}

// dial opens a session for all calls that wait for it.
func (l *Link) dial() {
	conn, err := socket.Dial(context.Background(), l.address, Path, dialTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.opening)
	l.opening = nil
	l.failed = err != nil
	if err != nil {
		l.failedAt = l.now()
		return
	}
	if l.closed {
		_ = conn.CloseNow() // nobody waits for it any more
		return
	}
	l.current = newSession(conn, l.now, l.state, l.learn)
	l.sessions++
	go l.run(l.current)
}

// run reads replies until the session ends.
func (l *Link) run(s *session) {
	_ = s.stream.read(l.now, s.take) // the calls that are lost with it tell
	l.mu.Lock()
	l.current = nil
	l.failed, l.failedAt = true, l.now()
	l.mu.Unlock()
	s.abandon()
}

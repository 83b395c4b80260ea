package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/wait"
)

// Bounds of one link.
const (
	// SilenceTimeout is the time without a message after which a link is closed.
	SilenceTimeout = 4 * time.Second

	writeTimeout = 3 * time.Second
	queueLength  = 128 // messages that wait to be sent
	pendingMax   = 64  // messages received that wait for the control thread
	flushTimeout = 500 * time.Millisecond
)

// errClosed is the cause of a link that this side closed.
var errClosed = errors.New("closed by this node")

// Link is an authenticated link to a peer.
type Link struct {
	// Remote is the proven identity of the peer.
	Remote Identity
	// Dialled says that this side made the link.
	Dialled bool

	conn     *websocket.Conn
	clock    *event.Clock
	out      chan *Message
	pending  chan struct{}
	closed   chan struct{}
	once     sync.Once
	cause    error
	counters *Counters
}

func newLink(conn *websocket.Conn, remote Identity, dialled bool, clock *event.Clock, counters *Counters) *Link {
	return &Link{
		Remote:   remote,
		Dialled:  dialled,
		conn:     conn,
		clock:    clock,
		out:      make(chan *Message, queueLength),
		pending:  make(chan struct{}, pendingMax),
		closed:   make(chan struct{}),
		counters: counters,
	}
}

// Send queues a message. It never blocks: a peer that does not take its
// messages loses the link.
func (l *Link) Send(m *Message) {
	select {
	case <-l.closed:
	case l.out <- m:
	default:
		l.Close(violation(FaultStalled, "%d messages wait to be sent", queueLength))
	}
}

// Close ends the link for a cause; nil stands for a cause of this side. Only
// the first cause counts.
func (l *Link) Close(cause error) {
	l.once.Do(func() {
		if cause == nil {
			cause = errClosed
		}
		l.cause = cause
		close(l.closed)
	})
}

// MessageHandled tells the link that one delivered message was handled.
func (l *Link) MessageHandled() {
	<-l.pending
}

// Run carries messages until the link ends, and returns the cause. deliver is
// called for each message; Done has to follow for each.
func (l *Link) Run(ctx context.Context, deliver func(*Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.conn.SetReadLimit(MaxMessageBytes)
	written := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		defer close(written)
		l.Close(l.write(ctx))
	})
	group.Go(func() { l.Close(l.read(ctx, deliver)) })
	select {
	case <-l.closed:
	case <-ctx.Done():
		l.Close(nil)
	}
	if errors.Is(l.cause, errClosed) {
		wait.ForDone(written, flushTimeout)
	}
	cancel()
	_ = l.conn.CloseNow()
	group.Wait()
	return l.cause
}

// write sends what is queued. After Close it sends the rest of the queue.
func (l *Link) write(ctx context.Context) error {
	for {
		select {
		case m := <-l.out:
			if err := l.writeOne(ctx, m); err != nil {
				return err
			}
			continue
		case <-ctx.Done():
			return nil
		case <-l.closed:
		}
		select {
		case m := <-l.out:
			if err := l.writeOne(ctx, m); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (l *Link) writeOne(ctx context.Context, m *Message) error {
	stamped := *m // a message may wait on several links
	stamped.Clock = l.clock.Tick()
	data, err := Encode(&stamped)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return violation(FaultStalled, "a message took longer than %v to send", writeTimeout)
		}
		return errors.Wrap(err, "write to peer")
	}
	l.counters.sent(len(data))
	return nil
}

// read delivers messages within the link's rate.
func (l *Link) read(ctx context.Context, deliver func(*Message)) error {
	rate := newRate(time.Now())
	for {
		data, err := l.readOne(ctx)
		if err != nil {
			return err
		}
		l.counters.received(len(data))
		if !rate.allow(time.Now(), len(data)) {
			return violation(FaultRateExceeded, "more than %d messages or %d bytes a second", messagesPerSecond, bytesPerSecond)
		}
		m, err := Decode(data)
		if err != nil {
			return violation(FaultMalformed, "%v", err)
		}
		l.clock.Observe(m.Clock)
		select {
		case l.pending <- struct{}{}:
			deliver(m)
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Link) readOne(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	kind, data, err := l.conn.Read(ctx)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return nil, violation(FaultStalled, "no message for %v", SilenceTimeout)
	case errors.Is(err, websocket.ErrMessageTooBig):
		return nil, violation(FaultMalformed, "a message of more than %d bytes", MaxMessageBytes)
	case err != nil:
		return nil, errors.Wrap(err, "read from peer")
	case kind != websocket.MessageBinary:
		return nil, violation(FaultMalformed, "a text frame")
	}
	return data, nil
}

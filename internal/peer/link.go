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
	sendQueueMax = 128 // messages
	unhandledMax = 64  // messages delivered to the control thread and not yet handled
	flushTimeout = 500 * time.Millisecond
)

// errClosed is the cause if this side closed the link without a fault.
var errClosed = errors.New("closed by this node")

// Link is an authenticated link to a peer.
type Link struct {
	// Remote is the authenticated identity of the peer.
	Remote Identity
	// Dialled is set if this side dialled.
	Dialled bool

	conn      *websocket.Conn
	clock     *event.Clock
	sendQueue chan *Message
	unhandled chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	cause     error
	counters  *Counters
}

func newLink(conn *websocket.Conn, remote Identity, dialled bool, clock *event.Clock, counters *Counters) *Link {
	return &Link{
		Remote:    remote,
		Dialled:   dialled,
		conn:      conn,
		clock:     clock,
		sendQueue: make(chan *Message, sendQueueMax),
		unhandled: make(chan struct{}, unhandledMax),
		closed:    make(chan struct{}),
		counters:  counters,
	}
}

// Send queues a message. It never blocks: if the queue is full, it closes the
// link.
func (l *Link) Send(m *Message) {
	select {
	case <-l.closed:
	case l.sendQueue <- m:
	default:
		l.Close(violation(FaultStalled, "%d messages are queued", sendQueueMax))
	}
}

// Close ends the link with a cause; nil means that this side ends it without a
// fault of the peer. Only the first call has an effect.
func (l *Link) Close(cause error) {
	l.closeOnce.Do(func() {
		if cause == nil {
			cause = errClosed
		}
		l.cause = cause
		close(l.closed)
	})
}

// MessageHandled reports that one delivered message was handled.
func (l *Link) MessageHandled() {
	<-l.unhandled
}

// Run sends and receives messages until the link ends, and returns the cause.
// deliver is called for each message; each call requires a later call of
// MessageHandled.
func (l *Link) Run(ctx context.Context, deliver func(*Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.conn.SetReadLimit(MaxMessageBytes)
	written := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		defer close(written)
		l.Close(l.writeLoop(ctx))
	})
	group.Go(func() { l.Close(l.readLoop(ctx, deliver)) })
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

// writeLoop sends what is queued. After Close it sends the rest of the queue.
func (l *Link) writeLoop(ctx context.Context) error {
	for {
		select {
		case m := <-l.sendQueue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
			continue
		case <-ctx.Done():
			return nil
		case <-l.closed:
		}
		select {
		case m := <-l.sendQueue:
			if err := l.writeMessage(ctx, m); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (l *Link) writeMessage(ctx context.Context, m *Message) error {
	stamped := *m // a copy, as a message may be queued on several links
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
	l.counters.addSent(len(data))
	return nil
}

// readLoop delivers messages. It fails if the peer exceeds the link's rate.
func (l *Link) readLoop(ctx context.Context, deliver func(*Message)) error {
	limiter := newRateLimiter(time.Now())
	for {
		data, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		l.counters.addReceived(len(data))
		if !limiter.allow(time.Now(), len(data)) {
			return violation(FaultRateExceeded, "more than %d messages or %d bytes a second", messagesPerSecond, bytesPerSecond)
		}
		m, err := Decode(data)
		if err != nil {
			return violation(FaultMalformed, "%v", err)
		}
		l.clock.Observe(m.Clock)
		select {
		case l.unhandled <- struct{}{}:
			deliver(m)
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *Link) readFrame(ctx context.Context) ([]byte, error) {
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

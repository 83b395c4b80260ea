package updatefeed

import (
	"context"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/storeera"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/socket"
)

const (
	// dialTimeout limits the time to open a link. Meanwhile the node still reads the platform.
	dialTimeout = 500 * time.Millisecond
	// snapshotTimeout limits the wait for the first update, while the node doesn't read the
	// platform. A reader that collects events is up to date again within 0.8 s.
	snapshotTimeout = 1200 * time.Millisecond
	// silenceMax is the silence after which a reader is abandoned: three heartbeats.
	silenceMax = 900 * time.Millisecond
	// updateBytesMax limits one message. It is enough for a snapshot of a large fleet.
	updateBytesMax = 16 << 20
	// pingInterval is the time between two pings to a reader. In that time the clocks of
	// both nodes stay together.
	pingInterval = time.Second
)

// errReaderBehind means that a reader's state is older than this node's.
var errReaderBehind = errors.New("the reader is behind")

// errStateTooOld means that a reader runs and the platform has not confirmed its state lately.
var errStateTooOld = errors.New("the reader has not heard from the platform in time")

// readerLink is a connection to a reader, on the side of the subscriber.
type readerLink struct {
	address      string
	conn         *websocket.Conn
	answersPings bool // false for a reader of an earlier version
	pingedAt     time.Duration
	followUntil  time.Duration // 0 unless this node can't read the platform
}

// subscribeRequest is the first message of a subscriber.
type subscribeRequest struct {
	// After is the position up to which the subscriber has all changes.
	After storeera.Position
	// SentMs is the time by the subscriber's clock, in milliseconds.
	SentMs uint64
}

// ping is any further message of a subscriber.
type ping struct {
	_ struct{} `cbor:",toarray"`
	// SentMs is the time by the subscriber's clock, in milliseconds.
	SentMs uint64
}

func dial(ctx context.Context, address string) (*readerLink, error) {
	conn, err := socket.Dial(ctx, address, Path, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "reach a reader")
	}
	conn.SetReadLimit(updateBytesMax)
	return &readerLink{address: address, conn: conn}, nil
}

func (l *readerLink) close() {
	_ = l.conn.CloseNow() // the link is no longer used
}

// receive returns the next update.
func (l *readerLink) receive(ctx context.Context, timeout time.Duration) (*discovery.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "receive from a reader")
	}
	return discovery.DecodeUpdate(data)
}

// subscribe sends this node's position and applies the reader's snapshot.
func (f *Feed) subscribe(ctx context.Context, l *readerLink) error {
	directory := f.config.Directory
	l.pingedAt = directory.Now()
	data, err := cbor.Marshal(&subscribeRequest{After: directory.Position(), SentMs: uint64(l.pingedAt.Milliseconds())})
	if err != nil {
		return errors.Wrap(err, "encode a subscribe request")
	}
	timeout := f.config.Times.SnapshotWait(directory.StateAge(), snapshotTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "subscribe to a reader")
	}
	first, err := l.receive(ctx, timeout)
	if err != nil {
		return err
	}
	l.answersPings = first.Freshness != nil
	if !first.Whole || !f.apply(l, first) {
		return errReaderBehind
	}
	return nil
}

// apply applies a reader's update. It returns false if the reader is behind.
func (f *Feed) apply(l *readerLink, u *discovery.Update) bool {
	if !f.config.Directory.ApplyUpdate(u) {
		return false
	}
	if !l.answersPings {
		f.config.Directory.ConfirmedBySender()
	}
	return true
}

// receiveNext returns the reader's next update, unless the reader is silent or its state too
// old before.
func (f *Feed) receiveNext(ctx context.Context, l *readerLink) (*discovery.Update, error) {
	patience := f.config.Times.AgeMax - f.config.Directory.StateAge()
	if patience <= 0 {
		return nil, errStateTooOld
	}
	u, err := l.receive(ctx, min(patience, silenceMax))
	if err != nil && patience < silenceMax && errors.Is(err, context.DeadlineExceeded) {
		return nil, errStateTooOld
	}
	return u, err
}

// ping sends the time to the reader, unless it was sent lately.
func (l *readerLink) ping(ctx context.Context, now time.Duration) error {
	if !l.answersPings || now-l.pingedAt < pingInterval {
		return nil
	}
	l.pingedAt = now
	data, err := cbor.Marshal(&ping{SentMs: uint64(now.Milliseconds())})
	if err != nil {
		return errors.Wrap(err, "encode a ping")
	}
	ctx, cancel := context.WithTimeout(ctx, silenceMax)
	defer cancel()
	return errors.Wrap(l.conn.Write(ctx, websocket.MessageBinary, data), "send to a reader")
}

// follow applies a reader's updates until the reader fails, and then returns false. It
// returns true if this node should read the platform itself or follow another reader.
func (f *Feed) follow(ctx context.Context, l *readerLink) bool {
	if err := f.subscribe(ctx, l); err != nil {
		f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err), event.F("state_age", f.config.Directory.StateAge()))
		return false
	}
	f.config.Log.Emit(event.ReaderFound, l.address)
	for {
		if !f.mayFollow(l) {
			return true
		}
		if err := f.followOne(ctx, l); err != nil {
			if ctx.Err() == nil {
				f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err), event.F("state_age", f.config.Directory.StateAge()))
			}
			return false
		}
	}
}

// mayFollow reports whether this node does not have to read the platform itself, as far as it
// knows.
func (f *Feed) mayFollow(l *readerLink) bool {
	if l.followUntil > 0 {
		return f.config.Directory.Now() < l.followUntil
	}
	a := f.currentAssignment()
	return !a.isReader && slices.Contains(a.otherReaders, l.address)
}

// followOne applies the reader's next update.
func (f *Feed) followOne(ctx context.Context, l *readerLink) error {
	u, err := f.receiveNext(ctx, l)
	if err != nil {
		return err
	}
	if !f.apply(l, u) {
		return errReaderBehind
	}
	return l.ping(ctx, f.config.Directory.Now())
}

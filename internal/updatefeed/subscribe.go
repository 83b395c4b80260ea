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
	// silenceMax is the silence after which a reader is abandoned: three heartbeats. A change
	// has to be in force within 2 s.
	silenceMax = 900 * time.Millisecond
	// updateBytesMax limits one message. It is enough for a snapshot of a large fleet.
	updateBytesMax = 16 << 20
)

// errReaderBehind means that a reader's state is older than this node's.
var errReaderBehind = errors.New("the reader is behind")

// readerLink is a connection to a reader, on the side of the subscriber.
type readerLink struct {
	address string
	conn    *websocket.Conn
}

// subscribeRequest is the first message of a subscriber.
type subscribeRequest struct {
	// After is the position up to which the subscriber has all changes.
	After storeera.Position
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
	data, err := cbor.Marshal(&subscribeRequest{After: f.config.Directory.Position()})
	if err != nil {
		return errors.Wrap(err, "encode a subscribe request")
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "subscribe to a reader")
	}
	first, err := l.receive(ctx, snapshotTimeout)
	if err != nil {
		return err
	}
	if !first.Whole || !f.config.Directory.ApplyUpdate(first) {
		return errReaderBehind
	}
	return nil
}

// follow applies a reader's updates until the reader fails, and then returns false. It
// returns true if this node becomes a reader or the reader no longer is one.
func (f *Feed) follow(ctx context.Context, l *readerLink) bool {
	if err := f.subscribe(ctx, l); err != nil {
		f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err))
		return false
	}
	f.config.Log.Emit(event.ReaderFound, l.address)
	for {
		if a := f.currentAssignment(); a.isReader || !slices.Contains(a.otherReaders, l.address) {
			return true
		}
		update, err := l.receive(ctx, silenceMax)
		if err != nil {
			if ctx.Err() == nil {
				f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err))
			}
			return false
		}
		if !f.config.Directory.ApplyUpdate(update) {
			f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", errReaderBehind))
			return false
		}
	}
}

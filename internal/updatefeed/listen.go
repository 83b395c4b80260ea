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
	// dialTimeout bounds the opening of a link. The node still reads meanwhile.
	dialTimeout = 500 * time.Millisecond
	// wholeTimeout bounds the wait for the first news, while the node doesn't read.
	// A reader that gathers events is up to date again within 0.8 s.
	wholeTimeout = 1200 * time.Millisecond
	// silentAfter is the silence after which a reader is given up: three beats. What
	// is changed has to be in force 2 s later.
	silentAfter = 900 * time.Millisecond
	// newsBytesMax bounds one message: everything that a large fleet knows.
	newsBytesMax = 16 << 20
)

// errBehind means that a reader knows less than this node.
var errBehind = errors.New("the reader is behind")

// link is the way to a reader, from the listener's side.
type link struct {
	address string
	conn    *websocket.Conn
}

// hello is what a listener says first.
type hello struct {
	// After is the position up to which the listener knows everything.
	After storeera.Position
}

func dial(ctx context.Context, address string) (*link, error) {
	conn, err := socket.Dial(ctx, address, Path, dialTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "reach a reader")
	}
	conn.SetReadLimit(newsBytesMax)
	return &link{address: address, conn: conn}, nil
}

func (l *link) close() {
	_ = l.conn.CloseNow() // nothing more is expected of it
}

// hear returns the next news.
func (l *link) hear(ctx context.Context, longest time.Duration) (*discovery.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	_, data, err := l.conn.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "hear a reader")
	}
	return discovery.DecodeUpdate(data)
}

// greet says what this node knows, and takes in everything that the reader knows.
func (f *Feed) greet(ctx context.Context, l *link) error {
	data, err := cbor.Marshal(&hello{After: f.config.Directory.Position()})
	if err != nil {
		return errors.Wrap(err, "encode a greeting")
	}
	ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrap(err, "greet a reader")
	}
	first, err := l.hear(ctx, wholeTimeout)
	if err != nil {
		return err
	}
	if !first.Whole || !f.config.Directory.ApplyUpdate(first) {
		return errBehind
	}
	return nil
}

// listen takes in what a reader tells until it fails. It returns true if it did
// not, but another node is to be heard, or none.
func (f *Feed) listen(ctx context.Context, l *link) bool {
	if err := f.greet(ctx, l); err != nil {
		f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err))
		return false
	}
	f.config.Log.Emit(event.ReaderFound, l.address)
	for {
		if c := f.choose(); c.reader || !slices.Contains(c.others, l.address) {
			return true
		}
		n, err := l.hear(ctx, silentAfter)
		if err != nil {
			if ctx.Err() == nil {
				f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", err))
			}
			return false
		}
		if !f.config.Directory.ApplyUpdate(n) {
			f.config.Log.Emit(event.ReaderLost, l.address, event.F("error", errBehind))
			return false
		}
	}
}

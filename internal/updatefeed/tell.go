package updatefeed

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/wait"
)

// Path is the path at which a node takes listeners.
const Path = "/galenacart/news"

const (
	// beatInterval is the longest time between two messages to a listener.
	beatInterval = 300 * time.Millisecond
	// catchUpPoll is the time between two looks whether this node knows as much as
	// its listener.
	catchUpPoll = 20 * time.Millisecond
	// writeTimeout bounds the writing of one message. A listener has given up by then.
	writeTimeout = time.Second
)

// ServeHTTP takes a listener, and tells it everything and then what changes, for
// as long as this node reads.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.telling() {
		http.Error(w, "this node does not read the platform", http.StatusServiceUnavailable)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return // Accept has answered
	}
	defer func() { _ = socket.CloseNow() }() // the listener knows that its link ended
	if f.awaitAsMuch(socket) != nil {
		return // the listener has stopped waiting
	}
	f.tell(socket)
}

// reading reports whether this node reads the platform, as far as it knows.
func (f *Feed) reading() bool {
	return f.reads.Load() && f.config.Directory.SourceAvailable()
}

// telling reports whether this node has news that a new listener may rely on. Those
// that listen already hear what changes also while everything is read anew.
func (f *Feed) telling() bool {
	return f.reading() && f.config.Directory.Position().Revision > 0
}

// awaitAsMuch waits until this node knows at least what the listener does.
func (f *Feed) awaitAsMuch(socket *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), wholeTimeout)
	defer cancel()
	_, data, err := socket.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read a greeting")
	}
	var h hello
	if err := cbor.Unmarshal(data, &h); err != nil {
		return errors.Wrap(err, "decode a greeting")
	}
	for f.config.Directory.Position().Before(h.After) {
		if !wait.For(ctx, catchUpPoll) {
			return errBehind
		}
	}
	return nil
}

// tell tells a listener until it is gone or this node stops reading.
func (f *Feed) tell(socket *websocket.Conn) {
	gone := socket.CloseRead(context.Background())
	whole, listener := f.config.Directory.Subscribe()
	defer f.config.Directory.Unsubscribe(listener)
	next := whole
	for f.reading() && write(gone, socket, next) == nil {
		beat, cancel := context.WithTimeout(gone, beatInterval)
		select {
		case next = <-listener.C:
		case <-beat.Done():
			next = f.config.Directory.Heartbeat()
		}
		cancel()
		if next == nil || gone.Err() != nil {
			return
		}
	}
}

func write(ctx context.Context, socket *websocket.Conn, n *discovery.Update) error {
	data, err := cbor.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "encode news")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrap(socket.Write(ctx, websocket.MessageBinary, data), "tell a listener")
}

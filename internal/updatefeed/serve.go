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

// Path is the HTTP path at which a node accepts subscribers.
const Path = "/galenacart/news"

const (
	// heartbeatInterval is the longest time between two messages to a subscriber.
	heartbeatInterval = 300 * time.Millisecond
	// catchUpPoll is the time between two checks whether this node has reached the position
	// of its subscriber.
	catchUpPoll = 20 * time.Millisecond
	// writeTimeout limits the time to write one message. The subscriber has closed the link by
	// then.
	writeTimeout = time.Second
)

// ServeHTTP accepts a subscriber, and sends it a snapshot and then the changes, as long as
// this node reads the platform.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.canServe() {
		http.Error(w, "this node does not read the platform", http.StatusServiceUnavailable)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return // Accept has written the error response
	}
	defer func() { _ = socket.CloseNow() }() // the subscriber detects the closed link itself
	if f.catchUp(socket) != nil {
		return // the subscriber no longer waits
	}
	f.sendUpdates(socket)
}

// readerHealthy reports whether this node reads the platform and the platform responds.
func (f *Feed) readerHealthy() bool {
	return f.readsPlatform.Load() && f.config.Directory.SourceAvailable()
}

// canServe reports whether this node can send a snapshot to a new subscriber. Existing
// subscribers receive changes also while the platform is read anew.
func (f *Feed) canServe() bool {
	return f.readerHealthy() && f.config.Directory.Position().Revision > 0
}

// catchUp reads the subscriber's position and waits until this node has reached it.
func (f *Feed) catchUp(socket *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	_, data, err := socket.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read a subscribe request")
	}
	var request subscribeRequest
	if err := cbor.Unmarshal(data, &request); err != nil {
		return errors.Wrap(err, "decode a subscribe request")
	}
	for f.config.Directory.Position().Before(request.After) {
		if !wait.For(ctx, catchUpPoll) {
			return errReaderBehind
		}
	}
	return nil
}

// sendUpdates sends updates to a subscriber until it disconnects or this node stops reading
// the platform.
func (f *Feed) sendUpdates(socket *websocket.Conn) {
	connected := socket.CloseRead(context.Background())
	snapshot, subscriber := f.config.Directory.Subscribe()
	defer f.config.Directory.Unsubscribe(subscriber)
	next := snapshot
	for f.readerHealthy() && writeUpdate(connected, socket, next) == nil {
		heartbeatDue, cancel := context.WithTimeout(connected, heartbeatInterval)
		select {
		case next = <-subscriber.C:
		case <-heartbeatDue.Done():
			next = f.config.Directory.Heartbeat()
		}
		cancel()
		if next == nil || connected.Err() != nil {
			return
		}
	}
}

func writeUpdate(ctx context.Context, socket *websocket.Conn, u *discovery.Update) error {
	data, err := cbor.Marshal(u)
	if err != nil {
		return errors.Wrap(err, "encode an update")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrap(socket.Write(ctx, websocket.MessageBinary, data), "send to a subscriber")
}

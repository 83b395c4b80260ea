package updatefeed

import (
	"context"
	"net/http"
	"sync/atomic"
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
	s := &subscription{directory: f.config.Directory, socket: socket}
	if s.catchUp() != nil {
		return // the subscriber no longer waits
	}
	s.sendUpdates(f.readerHealthy)
}

// subscription is a connection to a subscriber, on the side of the reader.
type subscription struct {
	directory *discovery.Directory
	socket    *websocket.Conn
	ping      atomic.Pointer[receivedPing] // newest
}

// receivedPing is a time of the subscriber's clock, and when it was received.
type receivedPing struct {
	sentAt     time.Duration
	receivedAt time.Duration
}

func (s *subscription) recordPing(sentMs uint64) {
	s.ping.Store(&receivedPing{sentAt: time.Duration(sentMs) * time.Millisecond, receivedAt: s.directory.Now()})
}

// readerHealthy reports whether this node reads the platform and the platform responds.
func (f *Feed) readerHealthy() bool {
	return f.readsPlatform.Load() && f.config.Directory.SourceAvailable()
}

// canServe reports whether this node can send a snapshot to a new subscriber. Existing
// subscribers receive changes also while the platform is read anew.
func (f *Feed) canServe() bool {
	directory := f.config.Directory
	return f.readerHealthy() && directory.Position().Revision > 0 && directory.StateAge() <= f.config.Times.AgeMax
}

// catchUp reads the subscriber's position and waits until this node has reached it.
func (s *subscription) catchUp() error {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	_, data, err := s.socket.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read a subscribe request")
	}
	var request subscribeRequest
	if err := cbor.Unmarshal(data, &request); err != nil {
		return errors.Wrap(err, "decode a subscribe request")
	}
	s.recordPing(request.SentMs)
	for s.directory.Position().Before(request.After) {
		if !wait.For(ctx, catchUpPoll) {
			return errReaderBehind
		}
	}
	return nil
}

// receivePings records the subscriber's pings until it disconnects.
func (s *subscription) receivePings(disconnected context.CancelFunc) {
	defer disconnected()
	for {
		_, data, err := s.socket.Read(context.Background())
		if err != nil {
			return // the subscriber has disconnected
		}
		var p ping
		if cbor.Unmarshal(data, &p) != nil {
			return // a subscriber sends only pings
		}
		s.recordPing(p.SentMs)
	}
}

// sendUpdates sends updates to a subscriber until it disconnects or this node stops reading
// the platform, as healthy reports.
func (s *subscription) sendUpdates(healthy func() bool) {
	connected, disconnected := context.WithCancel(context.Background())
	go s.receivePings(disconnected)
	snapshot, subscriber := s.directory.Subscribe()
	defer s.directory.Unsubscribe(subscriber)
	next := snapshot
	for healthy() && s.write(connected, subscriber, next) == nil {
		heartbeatDue, cancel := context.WithTimeout(connected, heartbeatInterval)
		select {
		case next = <-subscriber.C:
		case <-heartbeatDue.Done():
			next = s.directory.Heartbeat()
		}
		cancel()
		if next == nil || connected.Err() != nil {
			return
		}
	}
}

// write sends an update, which other subscribers get too, with the freshness for this one.
func (s *subscription) write(ctx context.Context, subscriber *discovery.Subscriber, shared *discovery.Update) error {
	u, p := *shared, s.ping.Load()
	u.Freshness = s.directory.FreshnessFor(subscriber, p.sentAt, p.receivedAt)
	data, err := cbor.Marshal(&u)
	if err != nil {
		return errors.Wrap(err, "encode an update")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrap(s.socket.Write(ctx, websocket.MessageBinary, data), "send to a subscriber")
}

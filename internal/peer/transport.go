package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

const (
	// Path is the URL path at which nodes accept links on the peer address.
	Path = "/galenacart/peer"
	// maxHandshakes bounds the accepted connections that are not yet authenticated.
	maxHandshakes = 16
)

// Transport dials and accepts links.
type Transport struct {
	self       Identity
	key        []byte
	clock      *event.Clock
	client     *http.Client
	timeout    time.Duration // of a handshake
	handshakes chan struct{}
	counters   Counters
}

// NewTransport returns a transport. key is the shared secret of the fleet; client
// makes the connections and has no timeout of its own.
func NewTransport(self Identity, key []byte, clock *event.Clock, client *http.Client) *Transport {
	return &Transport{self: self, key: key, clock: clock, client: client, timeout: handshakeTimeout, handshakes: make(chan struct{}, maxHandshakes)}
}

// Self returns the identity that the node sends to its peers.
func (t *Transport) Self() Identity {
	return t.self
}

// Counters returns the counters of all links of the node.
func (t *Transport) Counters() *Counters {
	return &t.counters
}

// Dial opens a link to the node of a VM. The error is a *Violation if the other
// side violated the protocol or failed authentication.
func (t *Transport) Dial(ctx context.Context, vm, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	options := &websocket.DialOptions{HTTPClient: t.client}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, options) //nolint:bodyclose // the library owns the body
	if err != nil {
		return nil, errors.Wrapf(err, "connect to VM %s", vm)
	}
	conn.SetReadLimit(handshakeBytes)
	remote, err := t.handshakeAsDialer(ctx, conn, vm)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, *remote, true, t.clock, &t.counters), nil
}

// Accept upgrades a request to a link. It answers the request itself if it
// returns an error.
func (t *Transport) Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	select {
	case t.handshakes <- struct{}{}:
		defer func() { <-t.handshakes }()
	default:
		http.Error(w, "too many links begin at once", http.StatusServiceUnavailable)
		return nil, violation(FaultTooManyLinks, "more than %d concurrent handshakes", maxHandshakes)
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, violation(FaultMalformed, "%v", err)
	}
	conn.SetReadLimit(handshakeBytes)
	ctx, cancel := context.WithTimeout(context.Background(), t.timeout)
	defer cancel()
	remote, err := t.handshakeAsAcceptor(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, *remote, false, t.clock, &t.counters), nil
}

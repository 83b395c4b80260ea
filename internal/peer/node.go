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
	// Path is where nodes accept links, on the peer address.
	Path = "/galenacart/peer"
	// maxHandshakes bounds the links that are not yet authenticated.
	maxHandshakes = 16
)

// Transport makes and accepts links.
type Transport struct {
	self       Identity
	key        []byte
	clock      *event.Clock
	client     *http.Client
	timeout    time.Duration // of a handshake
	handshakes chan struct{}
	counters   Counters
}

// NewTransport returns a node. key is the secret that the fleet shares; client makes
// the connections and has no timeout of its own.
func NewTransport(self Identity, key []byte, clock *event.Clock, client *http.Client) *Transport {
	return &Transport{self: self, key: key, clock: clock, client: client, timeout: handshakeTimeout, handshakes: make(chan struct{}, maxHandshakes)}
}

// Self returns the identity that the node tells its peers.
func (n *Transport) Self() Identity {
	return n.self
}

// Counters returns what all links of the node have carried.
func (n *Transport) Counters() *Counters {
	return &n.counters
}

// Dial makes a link to the node of a VM. The error is a *Violation when the
// other side is at fault.
func (n *Transport) Dial(ctx context.Context, vm, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	options := &websocket.DialOptions{HTTPClient: n.client}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, options) //nolint:bodyclose // the library owns the body
	if err != nil {
		return nil, errors.Wrapf(err, "connect to VM %s", vm)
	}
	conn.SetReadLimit(handshakeBytes)
	remote, err := n.greet(ctx, conn, vm)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, *remote, true, n.clock, &n.counters), nil
}

// Accept takes a link from a request. It answers the request itself when there
// is no link to return.
func (n *Transport) Accept(w http.ResponseWriter, r *http.Request) (*Link, error) {
	select {
	case n.handshakes <- struct{}{}:
		defer func() { <-n.handshakes }()
	default:
		http.Error(w, "too many links begin at once", http.StatusServiceUnavailable)
		return nil, violation(FaultTooManyLinks, "more than %d links begin at once", maxHandshakes)
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, violation(FaultMalformed, "%v", err)
	}
	conn.SetReadLimit(handshakeBytes)
	ctx, cancel := context.WithTimeout(context.Background(), n.timeout)
	defer cancel()
	remote, err := n.receive(ctx, conn)
	if err != nil {
		_ = conn.CloseNow()
		return nil, err
	}
	return newLink(conn, *remote, false, n.clock, &n.counters), nil
}

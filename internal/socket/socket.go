// Package socket opens WebSocket connections to other nodes.
package socket

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// handshakeHeadBytesMax bounds the head of the answer to a handshake, including informational ones
// before it.
const handshakeHeadBytesMax = 64 << 10

// Dial opens a WebSocket connection to a path of a node, given as IP address and port, and offers
// subprotocols. timeout bounds the TCP connect and the handshake together.
func Dial(ctx context.Context, address, path string, timeout time.Duration, subprotocols ...string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{
		DialContext:       (&net.Dialer{Timeout: timeout}).DialContext,
		DisableKeepAlives: true, // the transport is used once, and would keep the connection of a rejected handshake

		MaxResponseHeaderBytes: handshakeHeadBytesMax,
	}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: client, Subprotocols: subprotocols}) //nolint:bodyclose // the library closes the body
	return conn, errors.Wrapf(err, "dial %s", address)
}

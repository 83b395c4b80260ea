// Package socket opens WebSockets to other nodes.
package socket

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Dial opens a WebSocket at a path of the node at an IP address and port. timeout
// bounds the connection and the handshake.
func Dial(ctx context.Context, address, path string, timeout time.Duration) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+path, &websocket.DialOptions{HTTPClient: client}) //nolint:bodyclose // the library keeps the body
	return conn, errors.Wrapf(err, "dial %s", address)
}

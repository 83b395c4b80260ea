package traffic

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than that of the servers, so that the server doesn't
	// close a connection while a call is being written to it.
	idleTimeout = 30 * time.Second
	// peerIdleMax bounds the idle connections to one node.
	peerIdleMax = 64
)

// countingConn counts the bytes written, which shows whether any byte of a failed
// call can have left the node.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts p before writing it, because a failed write may still have sent
// a part of it.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, network, address)
}

// newTransport returns a transport for one address that never resends requests
// by itself.
func newTransport(address string, idle int, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     8 << 10,
		ReadBufferSize:      8 << 10,
	}
}

// onceBody is a request body that can't be rewound. net/http resends requests by
// itself only if they have no body or one that it can rewind.
type onceBody struct {
	data []byte
}

// Read reads the rest of the body.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, errEndOfBody
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close does nothing, as the body is in memory.
func (b *onceBody) Close() error {
	return nil
}

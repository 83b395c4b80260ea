package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// connection is a forwarded connection.
type connection struct {
	network  *network
	from, to string          // availability zones
	conns    [2]*net.TCPConn // from the client, to the target
}

// run forwards data in both directions until both are closed.
func (c *connection) run(ctx context.Context) {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(ctx, c.conns[0], c.conns[1], c.from, c.to) })
	directions.Go(func() { c.forward(ctx, c.conns[1], c.conns[0], c.to, c.from) })
	directions.Wait()
	for _, conn := range c.conns {
		_ = conn.Close() // both directions have ended
	}
}

// forward copies data in one direction between two zones. Data read before a
// partition is held back until the partition ends, as TCP retransmits
// unacknowledged data.
func (c *connection) forward(ctx context.Context, in, out *net.TCPConn, from, to string) {
	buffer := make([]byte, bufferBytes)
	for {
		n, readErr := in.Read(buffer)
		if !c.network.waitData(ctx, from, to) {
			c.reset()
			return
		}
		if _, err := out.Write(buffer[:n]); err != nil {
			c.reset()
			return
		}
		if errors.Is(readErr, io.EOF) {
			_ = out.CloseWrite() // the other direction may remain open
			return
		}
		if readErr != nil {
			c.reset()
			return
		}
	}
}

// reset closes both connections at once and discards unsent data.
func (c *connection) reset() {
	for _, conn := range c.conns {
		abort(conn)
	}
}

// abort closes a connection with a TCP reset.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // the connection is closed even if this fails
	_ = conn.Close()
}

package ingress

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/message"
)

// disconnectingClient is a connection whose client disconnects while a response is written.
type disconnectingClient struct {
	net.Conn
	disconnect func()
}

func (d *disconnectingClient) Write(p []byte) (int, error) {
	d.disconnect()
	return len(p), nil
}

func TestClientDisconnectsDuringWrite(t *testing.T) {
	tests := []struct {
		desc   string
		queued int // requests behind the first one
	}{
		{"one request", 0},
		{"further requests queued behind it", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server, client := net.Pipe()
			t.Cleanup(func() { _ = client.Close() })
			raw := &disconnectingClient{Conn: server}
			c := newConn(New(testConfig(testLimits(), echo)), raw)
			t.Cleanup(c.cancel)
			raw.disconnect = c.closeNow
			first := &exchange{}
			require.True(t, c.enqueue(first))
			for range test.queued {
				require.True(t, c.enqueue(&exchange{}))
			}

			require.NotPanics(t, func() {
				c.respond(first, echo(context.Background(), &message.Request{}))
			})
			require.Zero(t, c.outstanding())
			require.False(t, c.enqueue(&exchange{}), "no further request is accepted after the client disconnected")
		})
	}
}

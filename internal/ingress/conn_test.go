package ingress

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/message"
)

// leavingClient is a connection whose client leaves while an answer is written.
type leavingClient struct {
	net.Conn
	leave func()
}

func (l *leavingClient) Write(p []byte) (int, error) {
	l.leave()
	return len(p), nil
}

func TestClientLeavesWhileItsAnswerIsWritten(t *testing.T) {
	tests := []struct {
		desc   string
		behind int // further requests in line
	}{
		{"one request", 0},
		{"more requests behind it", 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server, client := net.Pipe()
			t.Cleanup(func() { _ = client.Close() })
			raw := &leavingClient{Conn: server}
			c := newConn(New(Config{Limits: usualLimits, Handler: echo}), raw)
			t.Cleanup(c.cancel)
			raw.leave = c.end
			first := &exchange{}
			require.True(t, c.begin(first))
			for range test.behind {
				require.True(t, c.begin(&exchange{}))
			}

			require.NotPanics(t, func() {
				c.finish(first, echo(context.Background(), &message.Request{}))
			})
			require.Zero(t, c.outstanding())
			require.False(t, c.begin(&exchange{}), "nothing more is taken from a client that left")
		})
	}
}

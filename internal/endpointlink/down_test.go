package endpointlink

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnreachable(t *testing.T) {
	e := serve(t, func(io.Writer, int) bool { return true })
	p := New(e.address, testHeaders(), Bounds{})
	t.Cleanup(p.Close)
	require.False(t, p.Unreachable())
	require.Len(t, p.idle, 1, "the connection is kept for the next request")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close() // like a port forwarder whose target does not listen
		}
	}()
	forwarded := New(l.Addr().String(), testHeaders(), Bounds{})
	t.Cleanup(forwarded.Close)
	require.True(t, forwarded.Unreachable())
	require.NoError(t, l.Close())
	<-accepted
	require.True(t, forwarded.Unreachable(), "no listener")
}

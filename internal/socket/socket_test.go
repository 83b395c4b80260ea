package socket

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/testendless"
)

func TestDialConnectsToPath(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/known", func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err == nil {
			_ = conn.Write(r.Context(), websocket.MessageText, []byte("hello"))
			_ = conn.CloseNow()
		}
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	conn, err := Dial(t.Context(), address, "/known", 10*time.Second)
	require.NoError(t, err)
	defer func() { _ = conn.CloseNow() }()
	_, text, err := conn.Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, "hello", string(text))

	_, err = Dial(t.Context(), address, "/unknown", 10*time.Second)
	require.ErrorContains(t, err, "dial "+address)
}

func TestDialTimesOut(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	_, err = Dial(t.Context(), silent.Addr().String(), "/", 20*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestRejectedDialLeavesNoConnection guards against connections that stay open at both ends each
// time a node rejects a handshake.
func TestRejectedDialLeavesNoConnection(t *testing.T) {
	const dials = 20
	var open atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no reader", http.StatusServiceUnavailable)
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	for range dials {
		_, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/", 10*time.Second)
		require.Error(t, err)
	}
	require.Eventually(t, func() bool { return open.Load() == 0 }, 5*time.Second, time.Millisecond)
}

// TestEndlessHandshakeUsesBoundedMemory guards against another node that answers a handshake without an end.
func TestEndlessHandshakeUsesBoundedMemory(t *testing.T) {
	const allocatedMax = 8 << 20
	tests := []struct{ desc, prefix, repeated string }{
		{"status line", "HTTP/1.1 101 ", "O"},
		{"no HTTP", "", "\x16\x03\x01\x00"},
		{"one header", "HTTP/1.1 101 Switching Protocols\r\nX-Long: ", "a"},
		{"headers", "HTTP/1.1 101 Switching Protocols\r\n", "X-Next: a\r\n"},
		{"informational answers", "", "HTTP/1.1 102 Processing\r\nX-Next: a\r\n\r\n"},
		{"a body", "HTTP/1.1 503 Service Unavailable\r\n\r\n", "a"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				testendless.Serve(w, test.prefix, test.repeated)
			}))
			defer server.Close()
			before := testendless.AllocatedBytes()
			_, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/known", 10*time.Second)
			require.Error(t, err)
			growth := testendless.AllocatedBytes() - before
			t.Logf("%d KB allocated", growth>>10)
			require.Less(t, growth, uint64(allocatedMax))
		})
	}
}

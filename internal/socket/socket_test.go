package socket

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"
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

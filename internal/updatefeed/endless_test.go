package updatefeed

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/testendless"
)

// TestEndlessUpdateUsesBoundedMemory guards against a reader that sends a message without an end.
func TestEndlessUpdateUsesBoundedMemory(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		message, err := conn.Writer(r.Context(), websocket.MessageBinary)
		for piece := make([]byte, 64<<10); err == nil; {
			_, err = message.Write(piece)
		}
	}))
	defer server.Close()
	before := testendless.AllocatedBytes()
	l, err := dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer l.close()
	_, err = l.receive(t.Context(), 10*time.Second)
	require.ErrorIs(t, err, websocket.ErrMessageTooBig)
	growth := testendless.AllocatedBytes() - before
	t.Logf("%d KB allocated", growth>>10)
	require.Less(t, growth, uint64(8*updateBytesMax))
}

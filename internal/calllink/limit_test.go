package calllink

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/socket"
)

// TestMessageOverTheLimitClosesTheLink has a node send a message that is larger than any it may send.
func TestMessageOverTheLimitClosesTheLink(t *testing.T) {
	tests := []struct {
		desc         string
		subprotocols []string
		bytesMax     int
	}{
		{"a node that sends bodies in pieces", []string{subprotocolPieces}, messageBytesMax},
		{"a node of an earlier version", nil, wholeMessageBytesMax},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := &clock{}
			node := NewAcceptor(respondWith(200), noCallbacks.receive, noCallbacks.recordCrashes, c.now, memory.NewBudget(testMemoryBytes))
			server := httptest.NewServer(node)
			defer server.Close()
			defer node.Close()
			conn, err := socket.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"), Path, piecesTestTimeout, test.subprotocols...)
			require.NoError(t, err)
			defer func() { _ = conn.CloseNow() }()
			_ = conn.Write(t.Context(), websocket.MessageBinary, make([]byte, test.bytesMax+1)) // the node may close the link before the end
			_, _, err = conn.Read(t.Context())
			require.Error(t, err)
		})
	}
}

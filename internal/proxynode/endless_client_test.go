package proxynode

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndlessRequestsUseBoundedMemory has clients that send without end until their
// connection is closed, beside normal ones. Request bodies have the same memory budget as
// response bodies.
func TestEndlessRequestsUseBoundedMemory(t *testing.T) {
	const head = "POST /stock/1 HTTP/1.1\r\nHost: door.example\r\nRequest-Id: id-2\r\nRemaining-Ms: 5000\r\n"
	for growthMax, cases := range map[uint64][]endlessCase{heapMax: {
		{"request line", "GET /", "a"},
		{"one header", head + "X-Long: ", "a"},
		{"headers", head, "X-Next: a\r\n"},
		{"size of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"extension of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Next: a\r\n"},
	}, testMemoryMB << 20 / 4: {
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"excessive content length", head + "Content-Length: 1000000000000\r\n\r\n", "a"},
	}} {
		for _, one := range cases {
			t.Run(one.desc, func(t *testing.T) { testEndlessClients(t, growthMax, one) })
		}
	}
}

func testEndlessClients(t *testing.T, growthMax uint64, one endlessCase) {
	t.Helper()
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	f.add("stock", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	f.publish()
	growth := heapGrowth(func() {
		var sending sync.WaitGroup
		for range 10 {
			sending.Go(func() { sendEndless(t, entry.ip, one) })
		}
		for range concurrentRequests {
			require.Eventually(t, func() bool { // a busy machine may refuse the request at first
				r, _ := f.send(entry, "POST", "/stock/2", "x")
				return r.StatusCode == http.StatusOK
			}, 10*time.Second, time.Millisecond)
		}
		sending.Wait()
	})
	t.Logf("heap: %d KB more", growth>>10)
	require.Less(t, growth, growthMax)
}

// sendEndless returns when the node has closed the connection. If it never does, the test
// runs into the timeout of the test binary.
func sendEndless(t *testing.T, address string, one endlessCase) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, one.prefix); err != nil {
		return
	}
	piece := []byte(strings.Repeat(one.repeated, 1+(64<<10)/len(one.repeated)))
	for err == nil {
		_, err = c.Write(piece)
	}
}

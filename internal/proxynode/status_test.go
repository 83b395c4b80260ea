package proxynode

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInvalidStatusReachesNoClient has an endpoint send statuses that HTTP does not have, to
// requests of clients and to calls of an endpoint, on both kinds of route.
func TestInvalidStatusReachesNoClient(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		for _, idempotent := range []bool{true, false} {
			for _, seal := range []string{"", "Seal: s\r\n"} {
				t.Run(fmt.Sprintf("%s, idempotent %t, %q", status, idempotent, seal), func(t *testing.T) {
					f := newFleet(t, route("stock", idempotent))
					entry := f.add("door", http.NotFound)
					var runs atomic.Int32
					broken := f.add("stock", func(w http.ResponseWriter, r *http.Request) {
						runs.Add(1)
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer func() { _ = conn.Close() }()
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Odd\r\nRequest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", // the node checks what arrives
							status, r.Header.Get("Request-Id"), seal)
					})
					f.publish()
					for _, at := range []*vm{entry, broken} { // the second takes calls of its own endpoint too
						runs.Store(0)
						r, body := f.send(at, "POST", "/stock/1", "x")
						require.Equal(t, http.StatusBadGateway, r.StatusCode, body)
						require.Empty(t, r.Header.Get("Seal"))
						require.Positive(t, runs.Load())
						if !idempotent {
							require.EqualValues(t, 1, runs.Load(), "it may have run, so it is not repeated")
						}
					}
				})
			}
		}
	}
}

// TestRequestWithInvalidStatusIsRepeated checks that an idempotent request goes to another endpoint.
func TestRequestWithInvalidStatusIsRepeated(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	for i := range 2 {
		f.add("stock", func(w http.ResponseWriter, r *http.Request) {
			if i == 1 {
				return
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 099 Odd\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id")) // the node checks what arrives
		})
	}
	f.publish()
	for range 10 {
		r, body := f.send(entry, "GET", "/stock/1", "")
		require.Equal(t, http.StatusOK, r.StatusCode, body)
	}
}

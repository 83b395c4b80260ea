package proxynode

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAbandonedRequestsAreNotHeld checks that requests whose client has left take no memory, although
// the node remembers them in case the endpoint crashes.
func TestAbandonedRequestsAreNotHeld(t *testing.T) {
	const requests, bodyBytes = 30, 1 << 20
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	arrived, left := make(chan struct{}), make(chan struct{})
	f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
		left <- struct{}{}
	})
	f.publish()
	body := strings.Repeat("x", bodyBytes)
	before := reachableHeap()
	for range requests {
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			r, err := f.client.Do(f.request(entry, "POST", "/stock/1", body).WithContext(ctx))
			if err == nil {
				_ = r.Body.Close()
			}
		}()
		<-arrived
		cancel()
		<-left
		<-ended
	}
	require.Eventually(t, func() bool { return reachableHeap() < before+requests*bodyBytes/3 }, 5*time.Second, 50*time.Millisecond,
		"%d KB more than before", (reachableHeap()-before)>>10)
}

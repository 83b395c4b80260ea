package proxynode

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndpointThatSaysItIsLeavingGetsNoMoreRequests has an endpoint say so in its answers while
// the platform lists it as ready, restarts its node, and then starts it again under its ID.
func TestEndpointThatSaysItIsLeavingGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	var arrived atomic.Int32
	var leaving atomic.Bool
	leaving.Store(true)
	leaver := f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		if leaving.Load() {
			w.Header().Set("Leaving", "1")
		}
	})
	f.add("stock", func(http.ResponseWriter, *http.Request) {})
	f.publish()
	sendAll := func() int32 {
		arrived.Store(0)
		for range 50 {
			r, _ := f.send(entry, "GET", "/stock/1", "")
			require.Equal(t, http.StatusOK, r.StatusCode)
		}
		return arrived.Load()
	}
	require.Eventually(t, func() bool { return sendAll() > 0 }, 10*time.Second, time.Millisecond, "until its first answer")
	require.Zero(t, sendAll())
	time.Sleep(leavingReportTime)
	require.Zero(t, sendAll(), "later reports of load don't bring it back")

	f.replaceNode(1)
	require.Zero(t, sendAll(), "the entry knows after a restart of the endpoint's node")

	leaving.Store(false)
	leaver.restarts++
	f.publish()
	require.Eventually(t, func() bool { return sendAll() > 0 }, 10*time.Second, time.Millisecond, "its next run is not leaving")
}

// leavingReportTime is longer than a node avoids an endpoint for a report of its load.
const leavingReportTime = 1100 * time.Millisecond

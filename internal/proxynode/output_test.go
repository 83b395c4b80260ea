package proxynode

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedOutput blocks every write until it is released, like a reader that hangs.
type blockedOutput struct {
	release chan struct{}
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockRequests sends more refused requests, each of which logs an
// event, than event lines can be queued.
func TestBlockedOutputDoesNotBlockRequests(t *testing.T) {
	f := newFleet(t)
	stuck := &blockedOutput{release: make(chan struct{})}
	f.output = stuck
	v := f.add("one", func(http.ResponseWriter, *http.Request) {})
	for i := range 300 {
		r, err := f.client.Get(fmt.Sprintf("http://%s/%d", v.ip, i))
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	}

	v.stop()
	require.ErrorContains(t, <-v.done, "event output is blocked", "the stop still completes")
	close(stuck.release)
	require.NoError(t, v.endpoint.Close())
	v.stopped = true
}

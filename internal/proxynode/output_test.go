package proxynode

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuckOutput takes nothing until it is released, as a reader that hangs.
type stuckOutput struct {
	release chan struct{}
}

func (s *stuckOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestOutputThatHangsHoldsUpNoRequest sends more requests that are refused, each
// with an event, than lines may wait.
func TestOutputThatHangsHoldsUpNoRequest(t *testing.T) {
	f := newFleet(t)
	stuck := &stuckOutput{release: make(chan struct{})}
	f.output = stuck
	v := f.add("one", func(http.ResponseWriter, *http.Request) {})
	for i := range 300 {
		r, err := f.client.Get(fmt.Sprintf("http://%s/%d", v.ip, i))
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	}

	v.stop()
	require.ErrorContains(t, <-v.done, "the output takes no more events", "its stop ends all the same")
	close(stuck.release)
	require.NoError(t, v.endpoint.Close())
	v.halted = true
}

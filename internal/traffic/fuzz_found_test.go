package traffic

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
)

// sendChildCall makes a child call of r on behalf of the endpoint that runs it.
func sendChildCall(n *testNode, r *http.Request, target string) http.Header {
	q, err := http.NewRequestWithContext(context.Background(), r.Method, n.outbound.URL+target, nil)
	if err != nil {
		return nil
	}
	q.Header.Set(call.HeaderParent, r.Header.Get(call.HeaderCall))
	response, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.Header
}

// TestResentChildCallIsNotReportedAsNotRun resends a child booking that ran, after
// its parent call has ended. The node no longer has its record and must not
// report it as not run.
func TestResentChildCallIsNotReportedAsNotRun(t *testing.T) {
	f := newFleet(t)
	verdicts := make(chan string, 1)
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	var middle *testNode
	middle = f.add("middle-1", "middle", "a", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a cancellation only after the body is read
		sendChildCall(middle, r, "/deep")
		<-r.Context().Done()
		id, err := call.ParseID(r.Header.Get(call.HeaderCall))
		assert.NoError(t, err)
		for middle.traffic.parents.get(id) != nil {
			time.Sleep(time.Millisecond)
		}
		verdicts <- sendChildCall(middle, r, "/deep").Get(problem.HeaderRan)
	})
	f.start()
	r, err := http.NewRequestWithContext(t.Context(), "POST", middle.caller.URL+"/middle", nil)
	require.NoError(t, err)
	r.Header.Set(call.HeaderTimeout, "200")
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "unknown", <-verdicts)
	require.EqualValues(t, 1, deep.runs.Load())
}

// TestCrashLimitHoldsOverAChain sends a request that crashes two endpoints at the
// end of its chain, while the service in between cuts off its answer. The retry on
// another node must not crash a third endpoint, although the first two crashes
// haven't been published over peer links yet.
func TestCrashLimitHoldsOverAChain(t *testing.T) {
	for trial := range 10 { // the choice among endpoints is random
		t.Run(strconv.Itoa(trial), crashOverChain)
	}
}

func crashOverChain(t *testing.T) {
	f := newFleet(t)
	lost := atomic.Int32{}
	for _, zone := range []string{"a", "a", "b", "b"} {
		var n *testNode
		n = f.add("deep-"+strconv.Itoa(len(f.nodes)), "deep", zone, func(http.ResponseWriter, *http.Request) {
			lost.Add(1)
			_ = n.endpoint.Listener.Close()
			panic(http.ErrAbortHandler)
		})
	}
	for _, zone := range []string{"a", "b"} {
		var n *testNode
		n = f.add("middle-"+zone, "middle", zone, func(_ http.ResponseWriter, r *http.Request) {
			sendChildCall(n, r, "/deep?crash=1")
			panic(http.ErrAbortHandler)
		})
	}
	entry := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	entry.call(t, "GET", "/middle", "", "")
	require.LessOrEqual(t, lost.Load(), int32(crashedMax))
}

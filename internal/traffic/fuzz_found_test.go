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

// childCall makes the own call of an endpoint that runs r.
func childCall(n *testNode, r *http.Request, target string) http.Header {
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

// The endpoint's booking ran. It sends the booking again after its own call has
// ended; it must not be told that the booking was not run.
func TestResentChildBookingIsNotCalledNotRun(t *testing.T) {
	f := newFleet(t)
	verdicts := make(chan string, 1)
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	var middle *testNode
	middle = f.add("middle-1", "middle", "a", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server sees the end of the call only then
		childCall(middle, r, "/deep")
		<-r.Context().Done()
		id, err := call.ParseID(r.Header.Get(call.HeaderCall))
		assert.NoError(t, err)
		for middle.traffic.parents.get(id) != nil {
			time.Sleep(time.Millisecond)
		}
		verdicts <- childCall(middle, r, "/deep").Get(problem.HeaderRan)
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

// A request breaks two endpoints deep in its chain, and the answer above them
// breaks too. The attempt that follows elsewhere must not break a third one,
// although the news of the first two hasn't spread yet.
func TestCrashLimitHoldsOverAChain(t *testing.T) {
	for trial := range 10 { // the choice among endpoints is random
		t.Run(strconv.Itoa(trial), breakOverChain)
	}
}

func breakOverChain(t *testing.T) {
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
			childCall(n, r, "/deep?crash=1")
			panic(http.ErrAbortHandler)
		})
	}
	entry := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	entry.call(t, "GET", "/middle", "", "")
	require.LessOrEqual(t, lost.Load(), int32(crashedMax))
}

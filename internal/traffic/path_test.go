package traffic

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/problem"
)

// via returns an endpoint handler that calls another route through its node.
func via(n **testNode, path string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		child, _ := http.NewRequestWithContext(r.Context(), r.Method, (*n).outbound.URL+path, nil)
		child.Header.Set(call.HeaderParent, r.Header.Get(call.HeaderCall))
		response, err := http.DefaultTransport.RoundTrip(child)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
}

func TestChainEndToEnd(t *testing.T) {
	f := newFleet(t)
	var front, middle *testNode
	front = f.add("front-1", "front", "a", via(&front, "/middle"))
	middle = f.add("middle-1", "middle", "b", via(&middle, "/deep"))
	deep := f.add("deep-1", "deep", "a", answerWith("the whole answer"))
	f.start()
	for _, entry := range []*testNode{front, middle, deep} {
		got := entry.call(t, "GET", "/front", "", "")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, "the whole answer", got.body)
	}
	require.EqualValues(t, 3, deep.runs.Load())
}

func TestAnswersPassUnchanged(t *testing.T) {
	large := strings.Repeat("0123456789", 1<<20)
	tests := []struct {
		desc    string
		method  string
		handler http.HandlerFunc
		status  int
		body    string
		header  string
	}{
		{desc: "empty body", method: "GET", handler: func(http.ResponseWriter, *http.Request) {}, status: 200},
		{desc: "no content", method: "GET", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, status: 204},
		{desc: "not modified", method: "GET", handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(304) }, status: 304},
		{desc: "10 MB", method: "GET", handler: answerWith(large), status: 200, body: large},
		{
			desc: "HEAD keeps the length", method: "HEAD", status: 200, header: "Content-Length",
			handler: func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "77") },
		},
		{
			desc: "an endpoint's own error is forwarded", method: "GET", status: 500, body: "broken",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(500)
				_, _ = io.WriteString(w, "broken")
			},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t)
			f.add("deep-1", "deep", "a", test.handler)
			entry := f.add("front-1", "front", "a", answerWith(""))
			f.start()
			got := entry.call(t, test.method, "/deep", "", "")
			require.NoError(t, got.err)
			require.Equal(t, test.status, got.status)
			require.Equal(t, len(test.body), len(got.body))
			require.True(t, test.body == got.body)
			if test.header != "" {
				require.Equal(t, "77", got.header.Get(test.header))
			}
		})
	}
}

func TestTruncatedAnswersNeverEndCleanly(t *testing.T) {
	cut := func(size int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100000000")
			_, _ = w.Write(make([]byte, size))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	tests := []struct {
		desc string
		size int
	}{
		{desc: "cut off early", size: 100},
		{desc: "cut off after the buffered part", size: 2 * answerBufferBytes},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t)
			f.add("deep-1", "deep", "a", cut(test.size))
			entry := f.add("front-1", "front", "a", answerWith(""))
			f.start()
			got := entry.call(t, "GET", "/deep", "", "")
			if got.err == nil {
				require.NotEmpty(t, got.header.Get(problem.HeaderKind), "an incomplete answer must be a problem")
			}
		})
	}
}

func requestToken(t *testing.T, n *testNode) string {
	t.Helper()
	got := n.call(t, "POST", PathToken, "", "")
	require.Equal(t, http.StatusOK, got.status)
	var answer TokenResponse
	require.NoError(t, json.Unmarshal([]byte(got.body), &answer))
	return answer.Token
}

func TestKeyedCallRunsOnce(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(append([]byte("booked "), body...))
	})
	f.add("front-1", "front", "a", answerWith(""))
	f.add("middle-1", "middle", "b", answerWith(""))
	f.start()
	key := requestToken(t, f.nodes["front-1"])
	var group sync.WaitGroup
	for range 5 {
		for _, n := range f.nodes {
			group.Go(func() {
				got := n.call(t, "POST", "/deep", key, "door 7")
				require.Equal(t, "booked door 7", got.body)
			})
		}
	}
	group.Wait()
	require.EqualValues(t, 1, deep.runs.Load())

	other := f.nodes["middle-1"].call(t, "POST", "/deep", key, "door 8")
	require.Equal(t, problem.KindKeyReused.String(), other.header.Get(problem.HeaderKind))
}

func TestRefusedCallIsNotRestarted(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	entry := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	key := requestToken(t, entry)
	for range 3 {
		got := entry.call(t, "POST", "/deep", key, "")
		require.Equal(t, "no", got.header.Get(problem.HeaderRan))
	}
	require.EqualValues(t, 1, deep.runs.Load(), "a token reported as not run starts nothing more")
}

func TestFencedCallIsNeverStarted(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	home := f.add("front-1", "front", "a", answerWith(""))
	other := f.add("middle-1", "middle", "a", answerWith(""))
	f.start()
	key := requestToken(t, home)
	got := other.call(t, "POST", PathFence, key, "")
	require.Equal(t, "no", got.header.Get(problem.HeaderRan), got.body)
	got = other.call(t, "POST", "/deep", key, "")
	require.Equal(t, "no", got.header.Get(problem.HeaderRan), got.body)
	require.Equal(t, problem.KindConnectionLost.String(), got.header.Get(problem.HeaderKind), "the answer of the fence")
	require.Zero(t, deep.runs.Load())
}

func TestLongCallerKeyIsRefused(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	f.index.Catalogue().KeyHomes = []string{"deep-1"}
	f.start()
	got := deep.call(t, "POST", "/deep", strings.Repeat("k", callerKeyBytesMax+1), "")
	require.Equal(t, problem.KindBadCall.String(), got.header.Get(problem.HeaderKind))
	require.Equal(t, "no", got.header.Get(problem.HeaderRan))
}

func TestTokenOfEarlierProcessHasUnknownOutcome(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", answerWith("booked"))
	home := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	key := requestToken(t, home)
	home.traffic.config.Incarnation++
	got := home.call(t, "POST", "/deep", key, "")
	require.Equal(t, "unknown", got.header.Get(problem.HeaderRan))
	require.Zero(t, deep.runs.Load())
}

func TestNonIdempotentCallWithUnknownOutcomeIsNotRetried(t *testing.T) {
	f := newFleet(t)
	crash := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	a := f.add("deep-1", "deep", "a", crash)
	b := f.add("deep-2", "deep", "a", crash)
	entry := f.add("front-1", "front", "a", answerWith(""))
	f.start()
	got := entry.call(t, "POST", "/deep", requestToken(t, entry), "")
	require.Equal(t, "unknown", got.header.Get(problem.HeaderRan))
	require.EqualValues(t, 1, a.runs.Load()+b.runs.Load())
}

func TestRetriesOfAChainStayWithinBudget(t *testing.T) {
	f := newFleet(t)
	fail := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	var fronts, middles [3]*testNode
	var deeps []*testNode
	for i := range 3 {
		suffix := string(rune('1' + i))
		fronts[i] = f.add("front-"+suffix, "front", "a", via(&fronts[i], "/middle"))
		middles[i] = f.add("middle-"+suffix, "middle", "a", via(&middles[i], "/deep"))
		deeps = append(deeps, f.add("deep-"+suffix, "deep", "a", fail))
	}
	f.start()
	got := fronts[0].call(t, "GET", "/front", "", "")
	require.NotEqual(t, http.StatusOK, got.status)
	runs := int64(0)
	for _, n := range deeps {
		runs += n.runs.Load()
	}
	require.LessOrEqual(t, runs, int64(1+3), "one first attempt and the budget of three")
	require.GreaterOrEqual(t, runs, int64(2), "the budget is spent by the node next to the failure")
}

func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	f := newFleet(t)
	deep := f.add("deep-1", "deep", "a", answerWith("secret"))
	f.start()
	got := send(t, deep.peer.URL, "POST", "/galenacart/call/deep", "", "")
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Zero(t, deep.runs.Load())
}

func TestUnknownParentAndForbiddenCallee(t *testing.T) {
	f := newFleet(t)
	front := f.add("front-1", "front", "a", answerWith(""))
	deep := f.add("deep-1", "deep", "a", answerWith(""))
	f.add("middle-1", "middle", "a", answerWith(""))
	f.start()
	got := send(t, front.outbound.URL, "GET", "/deep", "", "")
	require.Equal(t, problem.KindNoRoute.String(), got.header.Get(problem.HeaderKind), "front may not call deep")
	require.Zero(t, deep.runs.Load())

	middle := f.nodes["middle-1"]
	r, err := http.NewRequestWithContext(t.Context(), "POST", middle.outbound.URL+"/deep", nil)
	require.NoError(t, err)
	r.Header.Set(call.HeaderParent, call.ID{}.String())
	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, problem.KindUnknownParent.String(), response.Header.Get(problem.HeaderKind))
	require.Equal(t, "unknown", response.Header.Get(problem.HeaderRan), "an earlier send may have run while the parent was running")
}

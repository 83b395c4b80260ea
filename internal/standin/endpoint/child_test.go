package endpoint

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/standin/answer"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

const (
	nodeAddress  = "127.0.0.1:1"
	stockAddress = "127.0.0.1:2"
)

// startChain serves a front endpoint whose calls go to a stock endpoint with
// four slots. The connections go wherever dial sends them.
func startChain(t *testing.T, change func(front, stock *Settings)) (front, stock *bench) {
	s, f := testSettings(), testSettings()
	s.Slots = 4
	f.VM, f.Service = "vm-0", "front"
	f.Routes[0].Children = []Child{
		{Service: "stock", Method: http.MethodPost, Path: "/reserve", Repeat: 2},
		{Service: "stock", Method: http.MethodGet, Path: "/look"},
	}
	f.Downstream = Downstream{
		RoutingMode:  RoutingModeDirect,
		TryTimeoutMs: 1200,
		Endpoints:    []ServiceEndpoints{{Service: "stock", Addresses: []string{stockAddress}}},
	}
	if change != nil {
		change(f, s)
	}
	stock = start(t, func(to *Settings) { *to = *s }, Options{Crash: func() {}})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		require.Equal(t, stockAddress, address)
		return stock.listener.dial(ctx, network, address)
	}
	front = start(t, func(to *Settings) { *to = *f }, Options{Crash: func() {}, Dial: dial})
	return front, stock
}

func TestChildCalls(t *testing.T) {
	tests := []struct {
		desc     string
		parallel bool
		after    time.Duration
	}{
		{desc: "one after the other", after: 4 * time.Second},
		{desc: "at once", parallel: true, after: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, stock := startChain(t, func(f, _ *Settings) { f.Routes[0].Parallel = test.parallel })
				o := front.post("/book", HeaderAttempt, "2")
				a := front.wholeAnswer(o)
				require.Equal(t, test.after, o.after)
				require.Len(t, a.Children, 3)
				require.Equal(t, "/reserve", a.Children[1].Path)
				require.Equal(t, "/look", a.Children[2].Path)
				require.Equal(t, "vm-1", a.Children[2].VM)
				require.NotEqual(t, a.Children[0].BodyHash, a.Children[1].BodyHash)

				require.Empty(t, truth.DuplicateRuns(stock.records(), nil))
				require.Len(t, truth.CountRuns(stock.records()), 3)
				for _, r := range stock.records() {
					require.Equal(t, "r1", r.Request)
					require.Equal(t, "2", r.Attempt)
				}
				// The slot in front is held during the child calls.
				records := front.records()
				require.Equal(t, test.after, records[len(records)-1].Run())
			})
		})
	}
}

func TestPositionsTellCallsOfATreeApart(t *testing.T) {
	in := &incoming{
		record: truth.Record{Position: "1.0"},
		route:  &Route{Children: []Child{{Path: "/a", Repeat: 2}, {Path: "/b", Repeat: 1}}},
	}
	var positions []string
	for _, c := range childCalls(in) {
		positions = append(positions, c.position)
	}
	require.Equal(t, []string{"1.0.0", "1.0.1", "1.0.2"}, positions)
}

func TestChildThatFailsNamesItself(t *testing.T) {
	tests := []struct {
		desc   string
		change func(front, stock *Settings)
		status int
		starts int
		after  time.Duration
	}{
		{
			desc:   "three tries, each out of time",
			change: func(_, s *Settings) { s.Routes[0].ServiceTime.MeanMs = 1500 },
			starts: 3, after: 4600 * time.Millisecond,
		},
		{
			desc: "two tries, each out of time",
			change: func(f, s *Settings) {
				s.Routes[0].ServiceTime.MeanMs = 1500
				f.Downstream.Tries = 2
				f.Downstream.TryTimeoutMs = 200
			},
			starts: 2, after: 1400 * time.Millisecond,
		},
		{
			desc:   "no such route",
			change: func(_, s *Settings) { s.Routes[0].Path = "/other" },
			status: http.StatusNotFound, after: time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, stock := startChain(t, test.change)
				o := front.post("/book")
				require.Equal(t, http.StatusBadGateway, o.status)
				require.Equal(t, test.after, o.after)
				f := answer.ErrorResponse{}
				require.NoError(t, json.Unmarshal([]byte(o.body), &f))
				require.Equal(t, "POST /reserve", f.Child)
				require.Equal(t, test.status, f.Status)
				starts := 0
				for _, r := range truth.CountRuns(stock.records()) {
					starts += r.Count
				}
				require.Equal(t, test.starts, starts)
				require.Equal(t, whole, front.kinds("/book"))
				require.Equal(t, http.StatusBadGateway, front.records()[2].Status)
			})
		})
	}
}

func TestCallerThatLeavesCancelsTheWholeChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, stock := startChain(t, nil)
		ctx, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer leave()
		o := front.do(front.request(http.MethodPost, "/book").WithContext(ctx))
		require.Error(t, o.err)
		synctest.Wait()
		require.Equal(t, cancelled, front.kinds("/book"))
		require.Equal(t, cancelled, stock.kinds("/reserve"))
		require.Zero(t, stock.Status().Running)
	})
}

func TestCrashHeaderReachesTheNamedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, stock := startChain(t, func(f, _ *Settings) { f.Downstream.Tries = 1 })
		require.Equal(t, http.StatusBadGateway, front.post("/book", HeaderCrash, "stock").status)
		require.Equal(t, []truth.Kind{truth.Received, truth.Started, truth.Crashed}, stock.kinds("/reserve"))
		require.Equal(t, whole, front.kinds("/book"))
	})
}

// startWithNode serves an endpoint with one child call, whose node is answer.
func startWithNode(t *testing.T, answer http.HandlerFunc) *bench {
	node := newMemListener()
	server := &http.Server{Handler: answer}
	go func() { _ = server.Serve(node) }()
	b := start(t, func(s *Settings) {
		s.Routes[0].Children = []Child{{Service: "stock", Method: http.MethodPost, Path: "/reserve"}}
		s.Downstream = Downstream{RoutingMode: RoutingModeNode, OutboundAddress: nodeAddress, Tries: 2}
	}, Options{Dial: node.dial})
	t.Cleanup(func() {
		b.Endpoint.client.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
	return b
}

func TestNodeModeSendsTheParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(chan *http.Request, 10)
		b := startWithNode(t, func(w http.ResponseWriter, r *http.Request) {
			seen <- r
			if len(seen) == 1 {
				http.Error(w, "overloaded", http.StatusServiceUnavailable)
				return
			}
			writeJSON(w, http.StatusOK, answer.Response{Request: r.Header.Get(HeaderRequest)})
		})
		b.wholeAnswer(b.post("/book", call.HeaderCall, "c1"))
		require.Len(t, seen, 2)
		for range 2 {
			r := <-seen
			require.Equal(t, "c1", r.Header.Get(call.HeaderParent))
			require.Equal(t, "/reserve?call=0&request=r1", r.URL.RequestURI())
			require.Equal(t, nodeAddress, r.Host)
		}
	})
}

func TestChildAnswersThatAreNotWholeFail(t *testing.T) {
	tests := []struct {
		desc   string
		answer http.HandlerFunc
		reason string
	}{
		{
			desc: "answer to another request",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				writeJSON(w, http.StatusOK, answer.Response{Request: "r2"})
			},
			reason: "answer to request",
		},
		{
			desc: "truncated answer",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("{"))
			},
			reason: "read answer",
		},
		{
			desc:   "no JSON",
			answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) },
			reason: "decode answer",
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := startWithNode(t, test.answer)
				o := b.post("/book")
				require.Equal(t, http.StatusBadGateway, o.status)
				f := answer.ErrorResponse{}
				require.NoError(t, json.Unmarshal([]byte(o.body), &f))
				require.Equal(t, "POST /reserve", f.Child)
				require.Contains(t, f.Detail, test.reason)
			})
		})
	}
}

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

// startChain serves a front endpoint that makes child calls to a stock endpoint
// with four slots.
func startChain(t *testing.T, configure func(front, stock *Settings)) (front, stock *testEndpoint) {
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
	if configure != nil {
		configure(f, s)
	}
	stock = startEndpoint(t, func(to *Settings) { *to = *s }, Options{Crash: func() {}})
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		require.Equal(t, stockAddress, address)
		return stock.listener.dial(ctx, network, address)
	}
	front = startEndpoint(t, func(to *Settings) { *to = *f }, Options{Crash: func() {}, Dial: dial})
	return front, stock
}

func TestChildCalls(t *testing.T) {
	tests := []struct {
		desc     string
		parallel bool
		elapsed  time.Duration
	}{
		{desc: "sequential", elapsed: 4 * time.Second},
		{desc: "concurrent", parallel: true, elapsed: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, stock := startChain(t, func(f, _ *Settings) { f.Routes[0].Parallel = test.parallel })
				o := front.post("/book", HeaderAttempt, "2")
				response := front.decodeResponse(o)
				require.Equal(t, test.elapsed, o.elapsed)
				require.Len(t, response.Children, 3)
				require.Equal(t, "/reserve", response.Children[1].Path)
				require.Equal(t, "/look", response.Children[2].Path)
				require.Equal(t, "vm-1", response.Children[2].VM)
				require.NotEqual(t, response.Children[0].BodyHash, response.Children[1].BodyHash)

				require.Empty(t, truth.DuplicateRuns(stock.records(), nil))
				require.Len(t, truth.CountRuns(stock.records()), 3)
				for _, r := range stock.records() {
					require.Equal(t, "r1", r.Request)
					require.Equal(t, "2", r.Attempt)
				}
				// The front endpoint holds its slot during the child calls.
				records := front.records()
				require.Equal(t, test.elapsed, records[len(records)-1].Run())
			})
		})
	}
}

func TestPositionsOfChildCalls(t *testing.T) {
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

func TestErrorResponseNamesFailedChild(t *testing.T) {
	tests := []struct {
		desc    string
		change  func(front, stock *Settings)
		status  int
		starts  int
		elapsed time.Duration
	}{
		{
			desc:   "three attempts time out",
			change: func(_, s *Settings) { s.Routes[0].ServiceTime.MeanMs = 1500 },
			starts: 3, elapsed: 4600 * time.Millisecond,
		},
		{
			desc: "two attempts time out",
			change: func(f, s *Settings) {
				s.Routes[0].ServiceTime.MeanMs = 1500
				f.Downstream.Tries = 2
				f.Downstream.TryTimeoutMs = 200
			},
			starts: 2, elapsed: 1400 * time.Millisecond,
		},
		{
			desc:   "no such route",
			change: func(_, s *Settings) { s.Routes[0].Path = "/other" },
			status: http.StatusNotFound, elapsed: time.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				front, stock := startChain(t, test.change)
				o := front.post("/book")
				require.Equal(t, http.StatusBadGateway, o.status)
				require.Equal(t, test.elapsed, o.elapsed)
				f := answer.ErrorResponse{}
				require.NoError(t, json.Unmarshal([]byte(o.body), &f))
				require.Equal(t, "POST /reserve", f.Child)
				require.Equal(t, test.status, f.Status)
				starts := 0
				for _, r := range truth.CountRuns(stock.records()) {
					starts += r.Count
				}
				require.Equal(t, test.starts, starts)
				require.Equal(t, finishedKinds, front.kinds("/book"))
				require.Equal(t, http.StatusBadGateway, front.records()[2].Status)
			})
		})
	}
}

func TestCallerDisconnectCancelsCallTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, stock := startChain(t, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		o := front.do(front.request(http.MethodPost, "/book").WithContext(ctx))
		require.Error(t, o.err)
		synctest.Wait()
		require.Equal(t, cancelledKinds, front.kinds("/book"))
		require.Equal(t, cancelledKinds, stock.kinds("/reserve"))
		require.Zero(t, stock.Status().Running)
	})
}

func TestCrashHeaderIsForwardedToChild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, stock := startChain(t, func(f, _ *Settings) { f.Downstream.Tries = 1 })
		require.Equal(t, http.StatusBadGateway, front.post("/book", HeaderCrash, "stock").status)
		require.Equal(t, []truth.Kind{truth.Received, truth.Started, truth.Crashed}, stock.kinds("/reserve"))
		require.Equal(t, finishedKinds, front.kinds("/book"))
	})
}

// startWithNode serves an endpoint with one child call and a node that uses handler.
func startWithNode(t *testing.T, handler http.HandlerFunc) *testEndpoint {
	node := newMemListener()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(node) }()
	e := startEndpoint(t, func(s *Settings) {
		s.Routes[0].Children = []Child{{Service: "stock", Method: http.MethodPost, Path: "/reserve"}}
		s.Downstream = Downstream{RoutingMode: RoutingModeNode, OutboundAddress: nodeAddress, Tries: 2}
	}, Options{Dial: node.dial})
	t.Cleanup(func() {
		e.Endpoint.client.CloseIdleConnections()
		require.NoError(t, server.Close())
	})
	return e
}

func TestNodeModeSendsParentHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requests := make(chan *http.Request, 10)
		e := startWithNode(t, func(w http.ResponseWriter, r *http.Request) {
			requests <- r
			if len(requests) == 1 {
				http.Error(w, "overloaded", http.StatusServiceUnavailable)
				return
			}
			writeJSON(w, http.StatusOK, answer.Response{Request: r.Header.Get(HeaderRequest)})
		})
		e.decodeResponse(e.post("/book", call.HeaderCall, "c1"))
		require.Len(t, requests, 2)
		for range 2 {
			r := <-requests
			require.Equal(t, "c1", r.Header.Get(call.HeaderParent))
			require.Equal(t, "/reserve?call=0&request=r1", r.URL.RequestURI())
			require.Equal(t, nodeAddress, r.Host)
		}
	})
}

func TestInvalidChildResponsesFail(t *testing.T) {
	tests := []struct {
		desc      string
		answer    http.HandlerFunc
		wantError string
	}{
		{
			desc: "response to another request",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				writeJSON(w, http.StatusOK, answer.Response{Request: "r2"})
			},
			wantError: "answer to request",
		},
		{
			desc: "truncated response",
			answer: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("{"))
			},
			wantError: "read answer",
		},
		{
			desc:      "invalid JSON",
			answer:    func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) },
			wantError: "decode answer",
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startWithNode(t, test.answer)
				o := e.post("/book")
				require.Equal(t, http.StatusBadGateway, o.status)
				f := answer.ErrorResponse{}
				require.NoError(t, json.Unmarshal([]byte(o.body), &f))
				require.Equal(t, "POST /reserve", f.Child)
				require.Contains(t, f.Detail, test.wantError)
			})
		})
	}
}

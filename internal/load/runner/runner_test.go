package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/problem"
	"github.com/galenacart/galenacart/internal/standin/answer"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/wait"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// routeTimeoutMs is ten times the response time on a machine with four busy
// processes per core.
const routeTimeoutMs = 3000

// config returns a configuration in which the spare-part route has a short
// timeout and is served at address.
func config(t *testing.T, address string) Config {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	for i := range c.Routes {
		c.Routes[i].Limits.TimeoutMs = routeTimeoutMs
	}
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	return Config{
		Catalogue: c, Deployment: d,
		Targets: &Targets{Mode: ModeDirect, Services: []ServiceTargets{
			{Service: "stock", Endpoints: []string{address}, Nodes: []string{address}, AdminAddresses: []string{address}},
		}},
		Experiment: &experiment.Experiment{
			Name: "test", Seed: 1, MaxRequests: 1000,
			RetryPolicy: experiment.RetryPolicy{MaxSends: 1},
			Phases: []experiment.Phase{
				{Name: "steady", Kind: experiment.Steady, DurationMs: 200, Rates: []experiment.Rate{{Route: "spare-part", PerSecond: 200}}},
				{
					Name: "slow", Kind: experiment.Overload, DurationMs: 200, Rates: []experiment.Rate{{Route: "spare-part", PerSecond: 200}},
					Slow: []experiment.Slow{{Service: "stock", Factor: 5}}, SilencedServices: []string{"stock"},
				},
			},
		},
	}
}

// expectedResults lists the results that the fake endpoint produces in turn.
var expectedResults = []outcome.Result{outcome.Complete, outcome.Refused, outcome.Failed, outcome.InvalidResponse, outcome.NoResponse, outcome.TimedOut}

// serveByNumber produces the result that belongs to the request's number.
func serveByNumber(w http.ResponseWriter, r *http.Request) {
	number, _ := strconv.Atoi(r.URL.Query().Get("number"))
	a := answer.Response{Request: r.Header.Get(endpoint.HeaderRequest), Service: "stock", Method: r.Method, Path: r.URL.Path}
	switch expectedResults[number%len(expectedResults)] {
	case outcome.Refused:
		problem.Write(w, problem.New(problem.KindOverloaded, problem.NotExecuted, "full"), "")
		return
	case outcome.Failed:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	case outcome.InvalidResponse:
		a.Request = "another"
	case outcome.NoResponse:
		panic(http.ErrAbortHandler)
	case outcome.TimedOut:
		// The server doesn't always detect that a client has disconnected.
		wait.For(r.Context(), 2*routeTimeoutMs*time.Millisecond)
		return
	default:
	}
	_ = json.NewEncoder(w).Encode(a)
}

// recordingControl is an EndpointControl that records its calls.
type recordingControl struct {
	mu        sync.Mutex
	slowdowns []experiment.Slow
	silenced  []string
}

func (s *recordingControl) Slow(_ context.Context, service string, factor float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdowns = append(s.slowdowns, experiment.Slow{Service: service, Factor: factor})
	return nil
}

func (s *recordingControl) SilenceConnections(_ context.Context, service string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced = append(s.silenced, service)
	return nil
}

func TestRunRecordsRequestOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveByNumber))
	defer server.Close()
	c := config(t, server.Listener.Addr().String())
	control := &recordingControl{}
	c.EndpointControl = control
	var phases []string
	c.Progress = func(p *experiment.Phase) { phases = append(phases, p.Name) }
	r, err := New(c)
	require.NoError(t, err)
	all, err := r.Run(t.Context())
	require.NoError(t, err)
	require.Greater(t, len(all), 2*len(expectedResults))
	ids := map[string]bool{}
	for _, o := range all {
		number, err := strconv.Atoi(o.Request[strings.LastIndex(o.Request, "-")+1:])
		require.NoError(t, err)
		require.Equal(t, expectedResults[number%len(expectedResults)], o.Result, "%+v", o)
		require.Equal(t, o.Result == outcome.Refused, o.Ran == "no")
		require.Equal(t, o.Arrival() >= 200*time.Millisecond, o.Phase == 1)
		require.Equal(t, 1, o.Sends)
		require.Equal(t, "lookup", o.Class)
		ids[o.Request] = true
	}
	require.Len(t, ids, len(all), "request IDs are unique")
	require.Equal(t, []string{"steady", "slow"}, phases)
	require.Equal(t, []experiment.Slow{{Service: "stock", Factor: 5}, {Service: "stock", Factor: 1}}, control.slowdowns)
	require.Equal(t, []string{"stock"}, control.silenced)
}

func TestRefusalKind(t *testing.T) {
	inner := `{"error":"child call failed","detail":"status 503: {\"type\":\"urn:galenacart:problem:deadline\"}"}`
	quoted, err := json.Marshal(map[string]string{"detail": inner})
	require.NoError(t, err)
	require.Equal(t, "deadline", refusalKind(quoted))
	require.Empty(t, refusalKind([]byte("disk full")))
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(serveByNumber))
	defer server.Close()
	c := config(t, server.Listener.Addr().String())
	control := &recordingControl{}
	c.EndpointControl = control
	c.Experiment.Phases[1].DurationMs = 60_000
	c.Experiment.MaxRequests = 100_000
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Progress = func(p *experiment.Phase) {
		if p.Name == "slow" {
			cancel()
		}
	}
	r, err := New(c)
	require.NoError(t, err)
	all, err := r.Run(ctx)
	require.ErrorIs(t, err, context.Canceled)
	require.NotEmpty(t, all)
	for _, change := range control.slowdowns {
		require.Equal(t, "stock", change.Service)
	}
	if n := len(control.slowdowns); n > 0 {
		require.InDelta(t, 1, control.slowdowns[n-1].Factor, 0, "the normal speed of endpoints is restored")
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	c := config(t, "127.0.0.1:1")
	_, err := New(c)
	require.ErrorContains(t, err, `phase "slow"`, "there is no endpoint control")
	c = config(t, "127.0.0.1:1")
	c.EndpointControl = &recordingControl{}
	c.Targets.Services = nil
	_, err = New(c)
	require.ErrorContains(t, err, "service stock")
}

func TestAdminSlowsEveryEndpoint(t *testing.T) {
	var got []endpoint.BehaviourChange
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var change endpoint.BehaviourChange
		if r.URL.Path != "/admin/behaviour" || json.NewDecoder(r.Body).Decode(&change) != nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		got = append(got, change)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	a := NewAdminClient(&Targets{Services: []ServiceTargets{{Service: "stock", AdminAddresses: []string{address, address}}}})
	require.NoError(t, a.Slow(t.Context(), "stock", 5))
	require.Len(t, got, 2)
	require.InDelta(t, 5, *got[1].SlowFactor, 0)
	require.ErrorContains(t, a.Slow(t.Context(), "dispatch", 5), "dispatch")
}

func TestWaitReady(t *testing.T) {
	var mu sync.Mutex
	tokenRequests := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if tokenRequests++; tokenRequests < 3 {
			problem.Write(w, problem.New(problem.KindNotReady, problem.NotExecuted, ""), "")
		}
	}))
	defer node.Close()
	address := node.Listener.Addr().String()
	targets := &Targets{Mode: ModeGalenacart, Services: []ServiceTargets{{Service: "s", Endpoints: []string{address}, Nodes: []string{address}}}}
	require.NoError(t, WaitReady(t.Context(), targets))
	require.Equal(t, 3, tokenRequests)

	targets.Services[0].Endpoints = []string{"127.0.0.1:1"}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.ErrorContains(t, WaitReady(ctx, targets), "127.0.0.1:1 is not ready")
}

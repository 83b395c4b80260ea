package overhead

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/catalogue"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestRunMeasuresPathsSeparately delays one path and makes the other fail.
func TestRunMeasuresPathsSeparately(t *testing.T) {
	const delay = 20 * time.Millisecond
	slow := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(delay) }))
	defer slow.Close()
	var calls atomic.Int64
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer broken.Close()
	c := Config{
		Route:     &catalogue.Route{Name: "r", Method: "GET", Path: "/r", Idempotent: true, Limits: catalogue.RouteLimits{TimeoutMs: 5000}},
		Endpoints: []string{broken.Listener.Addr().String()},
		Nodes:     []string{slow.Listener.Addr().String()},
		PerSecond: 200, Warmup: 100 * time.Millisecond, Duration: 300 * time.Millisecond, Seed: 1,
	}
	r, err := Run(t.Context(), c)
	require.NoError(t, err)
	require.Zero(t, r.TwoNodes.Failed)
	require.GreaterOrEqual(t, r.TwoNodes.P50Micros, delay.Microseconds())
	require.Positive(t, r.Direct.Calls)
	require.Equal(t, r.Direct.Calls, r.Direct.Failed)
	require.Less(t, r.Direct.Calls, calls.Load(), "the warm-up is excluded")
	require.InDelta(t, r.Direct.Calls, r.TwoNodes.Calls, 1, "calls alternate between the paths")

	c.Route.Idempotent = false
	_, err = Run(t.Context(), c)
	require.ErrorContains(t, err, "idempotent")
}

func TestChecks(t *testing.T) {
	for added, met := range map[int64][]bool{500: {true, true}, 501: {false, true}, 1101: {false, false}} {
		checks := (&Result{AddedP99Micros: added}).Checks()
		require.Equal(t, met, []bool{checks[0].Met, checks[1].Met}, "%d", added)
	}
}

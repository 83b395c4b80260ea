package endpoint

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// admin calls the admin handler.
func (e *testEndpoint) admin(method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.AdminHandler().ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w
}

func TestColdStartAndSlowFactorIncreaseServiceTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.ColdStart = ColdStart{Factor: 3, Seconds: 4} }, Options{})
		require.Equal(t, 3*time.Second, e.post("/cold").elapsed)
		require.Equal(t, 3*time.Second, e.post("/cold").elapsed)
		require.Equal(t, time.Second, e.post("/warm").elapsed)
		require.Equal(t, http.StatusOK, e.admin(http.MethodPut, "/admin/behaviour", `{"slowFactor":5}`).Code)
		require.Equal(t, 5*time.Second, e.post("/slow").elapsed)
		require.Equal(t, http.StatusOK, e.admin(http.MethodPut, "/admin/behaviour", `{"slowFactor":1}`).Code)
		require.Equal(t, time.Second, e.post("/again").elapsed)
	})
}

func TestServiceTimeDistributions(t *testing.T) {
	const draws = 20000
	tests := []struct {
		desc string
		time ServiceTime
		// above is the expected share of draws over twice the mean.
		above float64
	}{
		{desc: "constant", time: ServiceTime{Distribution: Constant, MeanMs: 20}, above: 0},
		// P(X > 2m) = e^-2.
		{desc: "exponential", time: ServiceTime{Distribution: Exponential, MeanMs: 20}, above: 0.1353},
		// P(X > 2m) = 1 - Phi((ln 2 + s²/2) / s), here with s = 0.5.
		{desc: "lognormal", time: ServiceTime{Distribution: Lognormal, MeanMs: 20, Sigma: 0.5}, above: 0.0509},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := newSampler(1, ColdStart{}, time.Now())
			same := newSampler(1, ColdStart{}, time.Now())
			sum, above := time.Duration(0), 0
			for range draws {
				d := s.serviceTime(test.time, 1, time.Now())
				if again := same.serviceTime(test.time, 1, time.Now()); again != d {
					t.Fatalf("same seed, different times: %v and %v", d, again)
				}
				sum += d
				if d > 40*time.Millisecond {
					above++
				}
			}
			require.InEpsilon(t, 20*time.Millisecond, sum/draws, 0.02)
			require.InDelta(t, test.above, float64(above)/draws, 0.01)
		})
	}
}

func TestHealthReportOverrides(t *testing.T) {
	tests := []struct {
		desc   string
		change string
		want   string
		status int
	}{
		{desc: "actual", change: `{}`, want: `{"status":"ok","load":1,"draining":false}`, status: 200},
		{desc: "lag", change: `{"reportLagMs":2000}`, want: `{"status":"ok","load":0,"draining":false}`, status: 200},
		{desc: "forced healthy", change: `{"lieHealthy":true}`, want: `{"status":"ok","load":0,"draining":false}`, status: 200},
		{desc: "forced dead", change: `{"lieDead":true}`, want: `{"status":"dead","load":0,"draining":false}`, status: 503},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startEndpoint(t, nil, Options{})
				require.Equal(t, http.StatusOK, e.admin(http.MethodPut, "/admin/behaviour", test.change).Code)
				call := e.doAsync(e.request(http.MethodPost, "/a"))
				time.Sleep(500 * time.Millisecond)
				o := e.do(e.request(http.MethodGet, HealthPath))
				require.Equal(t, test.status, o.status)
				require.JSONEq(t, test.want, o.body)
				<-call
			})
		})
	}
}

func TestLaggingHealthReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.HealthReporting.LagMs = 2000 }, Options{})
		call := e.doAsync(e.request(http.MethodPost, "/a")) // runs from 0 s to 1 s
		loads := map[time.Duration]float64{}
		startedAt := time.Now()
		for range 8 {
			time.Sleep(500*time.Millisecond - time.Millisecond)
			loads[time.Since(startedAt)] = e.reportedHealth().Load
			time.Sleep(time.Millisecond)
		}
		<-call
		require.Equal(t, map[time.Duration]float64{
			499 * time.Millisecond: 0, 999 * time.Millisecond: 0, 1499 * time.Millisecond: 0, 1999 * time.Millisecond: 0,
			2499 * time.Millisecond: 1, 2999 * time.Millisecond: 1, 3499 * time.Millisecond: 0, 3999 * time.Millisecond: 0,
		}, loads)
	})
}

func TestAdminRejectsInvalidRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, nil, Options{})
		for _, body := range []string{`{"slowFactor":0}`, `{"slowFactor":-1}`, `{"slowFactr":1}`, `{"reportLagMs":-1}`, `x`} {
			require.Equal(t, http.StatusBadRequest, e.admin(http.MethodPut, "/admin/behaviour", body).Code, body)
		}
		require.Equal(t, http.StatusOK, e.admin(http.MethodPost, "/admin/silence", "").Code)
		require.Contains(t, e.admin(http.MethodGet, "/admin/status", "").Body.String(), `"slowFactor":1`)
	})
}

package endpoint

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/call"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

var (
	finishedKinds  = []truth.Kind{truth.Received, truth.Started, truth.Finished}
	refusedKinds   = []truth.Kind{truth.Received, truth.Refused}
	cancelledKinds = []truth.Kind{truth.Received, truth.Started, truth.Cancelled}
)

func TestResponseIdentifiesCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.Routes[0].AnswerBytes = 10000 }, Options{})
		o := e.post("/a/b?x=1", HeaderAttempt, "3", call.HeaderCall, "c1")
		response := e.decodeResponse(o)
		require.Equal(t, time.Second, o.elapsed)
		require.Equal(t, "vm-1", response.VM)
		require.Equal(t, "stock", response.Service)
		require.Equal(t, "POST /a/b", response.Method+" "+response.Path)
		require.Equal(t, fmt.Sprintf("%016x", xxhash.Sum64String("body")), response.BodyHash)
		require.Len(t, response.Padding, 10000)

		records := e.records()
		require.Len(t, records, 3)
		finished := records[2]
		require.Equal(t, truth.Finished, finished.Kind)
		require.Equal(t, "3", finished.Attempt)
		require.Equal(t, "c1", finished.Call)
		require.Equal(t, "r1", finished.Request)
		require.Equal(t, time.Second, finished.Run())
	})
}

func TestInvalidCallsAreNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.Routes[0].Path = "/stock" }, Options{})
		require.Equal(t, http.StatusNotFound, e.post("/other").status)
		require.Equal(t, http.StatusBadRequest, e.post("/stock", call.HeaderTimeout, "soon").status)
		require.Empty(t, e.records())
	})
}

func TestQueueIsFIFOAndRefusesExcessCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) {
			s.QueueMax = 2
			s.RetryAfterSeconds = 7
		}, Options{})
		var calls []<-chan outcome
		for _, path := range []string{"/1", "/2", "/3"} {
			calls = append(calls, e.doAsync(e.request(http.MethodPost, path)))
			synctest.Wait()
		}
		require.Equal(t, Status{Running: 1, Waiting: 2, Connections: 3, Behaviour: Behaviour{SlowFactor: 1}}, e.Status())

		refused := e.post("/4")
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Equal(t, "7", refused.header.Get("Retry-After"))
		require.Zero(t, refused.elapsed)
		require.Equal(t, refusedKinds, e.kinds("/4"))

		for i, c := range calls {
			o := <-c
			require.Equal(t, http.StatusOK, o.status)
			require.Equal(t, time.Duration(i+1)*time.Second, o.elapsed)
		}
		require.Zero(t, e.Status().Running)
	})
}

func TestCancellationReleasesSlot(t *testing.T) {
	tests := []struct {
		desc    string
		ignore  bool
		timeout string // Galenacart-Timeout-Ms; empty: the caller disconnects after 200 ms
		kinds   []truth.Kind
		next    time.Duration // duration of a call that waits from the start
	}{
		{desc: "caller disconnects", kinds: cancelledKinds, next: 1200 * time.Millisecond},
		{desc: "deadline passes", timeout: "300", kinds: cancelledKinds, next: 1300 * time.Millisecond},
		{desc: "caller disconnects, ignored", ignore: true, kinds: finishedKinds, next: 2 * time.Second},
		{desc: "deadline passes, ignored", ignore: true, timeout: "300", kinds: finishedKinds, next: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startEndpoint(t, func(s *Settings) {
					s.QueueMax = 1
					s.IgnoreCancellation = test.ignore
				}, Options{})
				r := e.request(http.MethodPost, "/first")
				if test.timeout != "" {
					r.Header.Set(call.HeaderTimeout, test.timeout)
				} else {
					ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
					defer cancel()
					r = r.WithContext(ctx)
				}
				first := e.doAsync(r)
				synctest.Wait()
				second := e.post("/second")
				require.Equal(t, http.StatusOK, second.status)
				require.Equal(t, test.next, second.elapsed)
				require.Equal(t, test.kinds, e.kinds("/first"))
				<-first
			})
		})
	}
}

func TestTimeoutIsReportedAndRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.QueueMax = 1 }, Options{})
		running := e.doAsync(e.request(http.MethodPost, "/running"))
		synctest.Wait()
		waiting := e.post("/waiting", call.HeaderTimeout, "300")
		require.Equal(t, http.StatusGatewayTimeout, waiting.status)
		require.Equal(t, 300*time.Millisecond, waiting.elapsed)
		require.Equal(t, []truth.Kind{truth.Received, truth.Cancelled}, e.kinds("/waiting"))
		require.Zero(t, e.Status().Waiting)
		<-running

		expired := e.post("/over", call.HeaderTimeout, "0")
		require.Equal(t, http.StatusGatewayTimeout, expired.status)
		require.Equal(t, []truth.Kind{truth.Received, truth.Cancelled}, e.kinds("/over"))
	})
}

func TestDrainingCompletesAdmittedCallsAndRefusesNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.QueueMax = 1 }, Options{})
		running := e.doAsync(e.request(http.MethodPost, "/running"))
		synctest.Wait()
		waiting := e.doAsync(e.request(http.MethodPost, "/waiting"))
		synctest.Wait()
		e.stop()
		time.Sleep(time.Millisecond)

		late := e.post("/late")
		require.Equal(t, http.StatusServiceUnavailable, late.status)
		require.JSONEq(t, `{"error":"draining"}`, late.body)
		health := e.do(e.request(http.MethodGet, HealthPath))
		require.JSONEq(t, `{"status":"draining","load":2,"draining":true}`, health.body)

		require.Equal(t, http.StatusOK, (<-running).status)
		require.Equal(t, http.StatusOK, (<-waiting).status)
		err := <-e.serveErr
		require.NoError(t, err)
		e.serveErr <- err // read again by the cleanup
		require.Equal(t, refusedKinds, e.kinds("/late"))
		records := e.records()
		require.Equal(t, truth.ProcessStopped, records[len(records)-1].Kind)
		drainStart, found := truth.DrainStart(records, "vm-1")
		require.True(t, found)
		startTime := func(string) (int64, bool) { return drainStart, true }
		require.Equal(t, []truth.VMCount{{VM: "vm-1", Count: 1}}, truth.CountAfter(records, truth.Received, startTime))
	})
}

func TestDrainLinger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEndpoint(t, func(s *Settings) { s.DrainLingerMs = 3000 }, Options{})
		synctest.Wait()
		startedAt := time.Now()
		e.stop()
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, e.post("/late").status)
		err := <-e.serveErr
		e.serveErr <- err
		require.Equal(t, 3*time.Second, time.Since(startedAt))
	})
}

func TestCrash(t *testing.T) {
	tests := []struct {
		desc    string
		target  string
		header  string
		crash   Crash
		crashes bool
	}{
		{desc: "no trigger", target: "/a"},
		{desc: "header", target: "/a", header: "1", crashes: true},
		{desc: "header names this service", target: "/a", header: "stock", crashes: true},
		{desc: "header names another service", target: "/a", header: "dispatch"},
		{desc: "substring of the path", target: "/a/poison/b", crash: Crash{PathContains: "poison"}, crashes: true},
		{desc: "substring of the query", target: "/a?x=poison", crash: Crash{PathContains: "poison"}, crashes: true},
		{desc: "substring of the body", target: "/a", crash: Crash{BodyContains: "od"}, crashes: true},
		{desc: "substring not in the body", target: "/a", crash: Crash{BodyContains: "poison"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashes := 0
				e := startEndpoint(t, func(s *Settings) { s.Crash = test.crash }, Options{Crash: func() { crashes++ }})
				o := e.post(test.target, HeaderCrash, test.header)
				if !test.crashes {
					require.Equal(t, http.StatusOK, o.status)
					require.Zero(t, crashes)
					return
				}
				require.Error(t, o.err)
				require.Equal(t, 1, crashes)
				require.Equal(t, 500*time.Millisecond, o.elapsed)
				records := e.records()
				require.Equal(t, truth.Crashed, records[len(records)-1].Kind)
				require.Equal(t, 500*time.Millisecond, records[len(records)-1].Run())
			})
		})
	}
}

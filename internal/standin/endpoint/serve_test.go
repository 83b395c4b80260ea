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
	whole     = []truth.Kind{truth.Received, truth.Started, truth.Finished}
	refused   = []truth.Kind{truth.Received, truth.Refused}
	cancelled = []truth.Kind{truth.Received, truth.Started, truth.Cancelled}
)

func TestAnswerNamesTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.Routes[0].AnswerBytes = 10000 }, Options{})
		o := b.post("/a/b?x=1", HeaderAttempt, "3", call.HeaderCall, "c1")
		a := b.wholeAnswer(o)
		require.Equal(t, time.Second, o.after)
		require.Equal(t, "vm-1", a.VM)
		require.Equal(t, "stock", a.Service)
		require.Equal(t, "POST /a/b", a.Method+" "+a.Path)
		require.Equal(t, fmt.Sprintf("%016x", xxhash.Sum64String("body")), a.BodyHash)
		require.Len(t, a.Padding, 10000)

		records := b.records()
		require.Len(t, records, 3)
		finished := records[2]
		require.Equal(t, truth.Finished, finished.Kind)
		require.Equal(t, "3", finished.Attempt)
		require.Equal(t, "c1", finished.Call)
		require.Equal(t, "r1", finished.Request)
		require.Equal(t, time.Second, finished.Run())
	})
}

func TestBadCallsAreNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.Routes[0].Path = "/stock" }, Options{})
		require.Equal(t, http.StatusNotFound, b.post("/other").status)
		require.Equal(t, http.StatusBadRequest, b.post("/stock", call.HeaderTimeout, "soon").status)
		require.Empty(t, b.records())
	})
}

func TestQueueIsFirstInFirstOutAndThenSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) {
			s.QueueMax = 2
			s.RetryAfterSeconds = 7
		}, Options{})
		var calls []<-chan outcome
		for _, path := range []string{"/1", "/2", "/3"} {
			calls = append(calls, b.begin(b.request(http.MethodPost, path)))
			synctest.Wait()
		}
		require.Equal(t, Status{Running: 1, Waiting: 2, Connections: 3, Behaviour: Behaviour{SlowFactor: 1}}, b.Status())

		shed := b.post("/4")
		require.Equal(t, http.StatusServiceUnavailable, shed.status)
		require.Equal(t, "7", shed.header.Get("Retry-After"))
		require.Zero(t, shed.after)
		require.Equal(t, refused, b.kinds("/4"))

		for i, c := range calls {
			o := <-c
			require.Equal(t, http.StatusOK, o.status)
			require.Equal(t, time.Duration(i+1)*time.Second, o.after)
		}
		require.Zero(t, b.Status().Running)
	})
}

func TestCancellationFreesTheSlot(t *testing.T) {
	tests := []struct {
		desc    string
		ignore  bool
		timeout string // Galenacart-Timeout-Ms; empty: the caller goes away after 200 ms
		kinds   []truth.Kind
		next    time.Duration // answer to a call that waits from the start
	}{
		{desc: "caller goes away", kinds: cancelled, next: 1200 * time.Millisecond},
		{desc: "time passes", timeout: "300", kinds: cancelled, next: 1300 * time.Millisecond},
		{desc: "caller goes away, ignored", ignore: true, kinds: whole, next: 2 * time.Second},
		{desc: "time passes, ignored", ignore: true, timeout: "300", kinds: whole, next: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := start(t, func(s *Settings) {
					s.QueueMax = 1
					s.IgnoreCancellation = test.ignore
				}, Options{})
				r := b.request(http.MethodPost, "/first")
				if test.timeout != "" {
					r.Header.Set(call.HeaderTimeout, test.timeout)
				} else {
					ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
					defer cancel()
					r = r.WithContext(ctx)
				}
				first := b.begin(r)
				synctest.Wait()
				second := b.post("/second")
				require.Equal(t, http.StatusOK, second.status)
				require.Equal(t, test.next, second.after)
				require.Equal(t, test.kinds, b.kinds("/first"))
				<-first
			})
		})
	}
}

func TestTimeoutAnswersAndRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.QueueMax = 1 }, Options{})
		running := b.begin(b.request(http.MethodPost, "/running"))
		synctest.Wait()
		waiting := b.post("/waiting", call.HeaderTimeout, "300")
		require.Equal(t, http.StatusGatewayTimeout, waiting.status)
		require.Equal(t, 300*time.Millisecond, waiting.after)
		require.Equal(t, []truth.Kind{truth.Received, truth.Cancelled}, b.kinds("/waiting"))
		require.Zero(t, b.Status().Waiting)
		<-running

		over := b.post("/over", call.HeaderTimeout, "0")
		require.Equal(t, http.StatusGatewayTimeout, over.status)
		require.Equal(t, []truth.Kind{truth.Received, truth.Cancelled}, b.kinds("/over"))
	})
}

func TestDrainingFinishesWhatRunsAndRefusesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.QueueMax = 1 }, Options{})
		running := b.begin(b.request(http.MethodPost, "/running"))
		synctest.Wait()
		waiting := b.begin(b.request(http.MethodPost, "/waiting"))
		synctest.Wait()
		b.stop()
		time.Sleep(time.Millisecond)

		late := b.post("/late")
		require.Equal(t, http.StatusServiceUnavailable, late.status)
		require.JSONEq(t, `{"error":"draining"}`, late.body)
		health := b.do(b.request(http.MethodGet, HealthPath))
		require.JSONEq(t, `{"status":"draining","load":2,"draining":true}`, health.body)

		require.Equal(t, http.StatusOK, (<-running).status)
		require.Equal(t, http.StatusOK, (<-waiting).status)
		err := <-b.ended
		require.NoError(t, err)
		b.ended <- err // for the end of the test
		require.Equal(t, refused, b.kinds("/late"))
		records := b.records()
		require.Equal(t, truth.ProcessStopped, records[len(records)-1].Kind)
		at, found := truth.DrainStart(records, "vm-1")
		require.True(t, found)
		moment := func(string) (int64, bool) { return at, true }
		require.Equal(t, []truth.VMCount{{VM: "vm-1", Count: 1}}, truth.CountAfter(records, truth.Received, moment))
	})
}

func TestDrainLingers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := start(t, func(s *Settings) { s.DrainLingerMs = 3000 }, Options{})
		synctest.Wait()
		began := time.Now()
		b.stop()
		time.Sleep(2 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, b.post("/late").status)
		err := <-b.ended
		b.ended <- err
		require.Equal(t, 3*time.Second, time.Since(began))
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
		{desc: "no sign", target: "/a"},
		{desc: "header", target: "/a", header: "1", crashes: true},
		{desc: "header names this service", target: "/a", header: "stock", crashes: true},
		{desc: "header names another service", target: "/a", header: "dispatch"},
		{desc: "part of the path", target: "/a/poison/b", crash: Crash{PathContains: "poison"}, crashes: true},
		{desc: "part of the query", target: "/a?x=poison", crash: Crash{PathContains: "poison"}, crashes: true},
		{desc: "part of the body", target: "/a", crash: Crash{BodyContains: "od"}, crashes: true},
		{desc: "not in the body", target: "/a", crash: Crash{BodyContains: "poison"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashes := 0
				b := start(t, func(s *Settings) { s.Crash = test.crash }, Options{Crash: func() { crashes++ }})
				o := b.post(test.target, HeaderCrash, test.header)
				if !test.crashes {
					require.Equal(t, http.StatusOK, o.status)
					require.Zero(t, crashes)
					return
				}
				require.Error(t, o.err)
				require.Equal(t, 1, crashes)
				require.Equal(t, 500*time.Millisecond, o.after)
				records := b.records()
				require.Equal(t, truth.Crashed, records[len(records)-1].Kind)
				require.Equal(t, 500*time.Millisecond, records[len(records)-1].Run())
			})
		})
	}
}

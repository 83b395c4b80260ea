package proxynode

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestReachesEndpointUnchanged(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	f.add("stock", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		remaining, err := strconv.Atoi(r.Header.Get("Remaining-Ms"))
		w.Header().Set("X-Remaining-Is-Less", strconv.FormatBool(err == nil && remaining <= 1000 && remaining > 500))
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "%s %s %s %s %s", r.Method, r.RequestURI, r.Host, r.Header.Get("Caller-Service"), body)
	})
	f.publish()
	r, body := f.send(entry, "PUT", "/stock/a%20b?c=d", "content")
	require.Equal(t, http.StatusCreated, r.StatusCode)
	require.Equal(t, "PUT /stock/a%20b?c=d door.example door content", body)
	require.Equal(t, "id-1", r.Header.Get("Request-Id"))
	require.Equal(t, "s", r.Header.Get("Seal"))
	require.Equal(t, "true", r.Header.Get("X-Remaining-Is-Less"), "the route's timeout limits it")
}

func TestResponsesGeneratedByNode(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	r, _ := f.send(entry, "GET", "/stock/1", "")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "no configuration has been published yet")
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	f.publish()
	r, _ = f.send(entry, "GET", "/other/1", "")
	require.Equal(t, http.StatusNotFound, r.StatusCode)
	r, _ = f.send(entry, "GET", "/stock/1", "")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "the service has no endpoint")
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, wait)
	require.LessOrEqual(t, wait, 5.0/3)
}

func TestEndpointFailureIsForwarded(t *testing.T) {
	f := newFleet(t, route("stock", false))
	var runs atomic.Int32
	entry := f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "broken")
	})
	f.publish()
	r, body := f.send(entry, "POST", "/stock/1", "x")
	require.Equal(t, http.StatusInternalServerError, r.StatusCode)
	require.Equal(t, "broken", body)
	require.Equal(t, "s", r.Header.Get("Seal"))
	require.EqualValues(t, 1, runs.Load())
}

func TestRefusedRequestIsSentToAnotherEndpoint(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		f := newFleet(t, route("stock", idempotent))
		entry := f.add("door", http.NotFound)
		var runs atomic.Int32
		for i := range 2 {
			f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
				if i == 0 {
					w.Header().Set("Not-Started", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				runs.Add(1)
			})
		}
		f.publish()
		for n := range 4 {
			r, _ := f.send(entry, "POST", "/stock/1", "x")
			require.Equal(t, http.StatusOK, r.StatusCode)
			require.EqualValues(t, n+1, runs.Load())
		}
	}
}

func TestLostResponse(t *testing.T) {
	tests := []struct {
		desc       string
		idempotent bool
		status     int
		runs       int32
	}{
		{"idempotent request is retried", true, http.StatusOK, 2},
		{"non-idempotent request has an unknown outcome", false, http.StatusBadGateway, 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			f := newFleet(t, route("stock", test.idempotent))
			entry := f.add("door", http.NotFound)
			var runs atomic.Int32
			for range 2 {
				f.add("stock", func(http.ResponseWriter, *http.Request) {
					if runs.Add(1) == 1 {
						panic(http.ErrAbortHandler)
					}
				})
			}
			f.publish()
			r, _ := f.send(entry, "POST", "/stock/1", "x")
			require.Equal(t, test.status, r.StatusCode)
			require.Equal(t, test.runs, runs.Load())
		})
	}
}

func TestRefusalAfterLostResponseIsNoProof(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	var asked atomic.Int32
	for range 2 {
		f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
			if asked.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Not-Started", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	f.publish()
	r, _ := f.send(entry, "GET", "/stock/1", "")
	require.Equal(t, http.StatusBadGateway, r.StatusCode, "the first endpoint may have run it")
	require.Empty(t, r.Header.Get("Retry-After"))
}

// TestRouteTimeoutEndsTheRequest checks that a timeout of 150 ms ends its request before a
// timeout of one second ends another that started at the same time.
func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	short, long := route("stock", true), route("bond", true)
	short.Limits.TimeoutMs, long.Limits.TimeoutMs = 150, 1000
	f := newFleet(t, short, long)
	entry := f.add("door", http.NotFound)
	cancelled := make(chan string, 2)
	for _, service := range []string{"stock", "bond"} {
		f.add(service, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			cancelled <- service
		})
	}
	f.publish()
	answered := make(chan string, 2)
	for _, service := range []string{"bond", "stock"} {
		go func() {
			r, _ := f.send(entry, "GET", "/"+service+"/1", "")
			answered <- fmt.Sprint(service, " ", r.StatusCode)
		}()
	}
	require.Equal(t, "stock 504", <-answered)
	require.Equal(t, "bond 504", <-answered)
	require.Equal(t, "stock", <-cancelled, "the endpoint's request is cancelled too")
	require.Equal(t, "bond", <-cancelled)
}

func TestDisconnectOfClientCancelsRequest(t *testing.T) {
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	running, cancelled := make(chan struct{}), make(chan struct{})
	f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		close(running)
		<-r.Context().Done()
		close(cancelled)
	})
	f.publish()
	f.client.Timeout = settleTime
	r, err := http.NewRequest(http.MethodGet, "http://"+entry.ip+"/stock/1", nil)
	require.NoError(t, err)
	r.Host = "door.example"
	r.Header.Set("Request-Id", "id-1")
	_, err = f.client.Do(r) //nolint:bodyclose // there is no response
	require.Error(t, err)
	<-running
	<-cancelled
}

func TestPlannedStopFinishesInFlightRequests(t *testing.T) {
	f := newFleet(t, route("stock", false))
	entry := f.add("door", http.NotFound)
	running, finish := make(chan struct{}), make(chan struct{})
	serving := f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	f.publish()
	ready := func(v *vm) int {
		r, err := http.Get("http://" + v.node.config.Settings.Load().ReadinessAddress + "/ready")
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		return r.StatusCode
	}
	require.Equal(t, http.StatusOK, ready(serving))
	result := make(chan string, 1)
	go func() {
		r, body := f.send(entry, "POST", "/stock/1", "x")
		result <- strconv.Itoa(r.StatusCode) + " " + body
	}()
	<-running
	serving.stop()
	require.Eventually(t, func() bool { return ready(serving) == http.StatusServiceUnavailable }, time.Second, time.Millisecond)
	close(finish)
	require.Equal(t, "200 done", <-result)
	http.DefaultClient.CloseIdleConnections()
}

// TestNodeWithoutPlatformGetsStateFromPeer starts a node while the platform is
// unreachable, beside a node that has the deployment's state and sends it a call.
func TestNodeWithoutPlatformGetsStateFromPeer(t *testing.T) {
	f := newFleet(t, route("one", true), route("two", true))
	answers := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }
	informed := f.add("one", answers)
	uninformed := f.add("two", answers)
	f.publishTo(f.sources[0])
	r, _ := f.send(uninformed, http.MethodGet, "/one/a", "")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "it has neither state nor peers")

	r, _ = f.send(informed, http.MethodGet, "/two/a", "")
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Eventually(t, func() bool {
		r, body := f.send(uninformed, http.MethodGet, "/one/a", "")
		return r.StatusCode == http.StatusOK && body == "whole"
	}, 10*time.Second, 10*time.Millisecond)

	f.routes = append(f.routes, route("three", true))
	f.add("three", answers)
	f.publish() // the platform is reachable again
	r, _ = f.send(uninformed, http.MethodGet, "/three/a", "")
	require.Equal(t, http.StatusOK, r.StatusCode)
}

// TestBreakerLimitsCallsToFailingEndpoint sends non-idempotent requests to the only
// endpoint, which breaks all calls off for a while. Clients must learn that nearly all
// requests have not run, and be served as soon as the endpoint works again.
func TestBreakerLimitsCallsToFailingEndpoint(t *testing.T) {
	const (
		asked   = 100
		inRow   = 3           // broken calls until the breaker opens
		probing = time.Second // between two probes
	)
	f := newFleet(t, route("stock", false))
	entry := f.add("door", http.NotFound)
	var works atomic.Bool
	f.add("stock", func(http.ResponseWriter, *http.Request) {
		if !works.Load() {
			panic(http.ErrAbortHandler)
		}
	})
	f.publish()
	lost, began := 0, time.Now()
	for range asked {
		r, _ := f.send(entry, "POST", "/stock/1", "x")
		if r.StatusCode == http.StatusBadGateway {
			lost++
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
		require.NotEmpty(t, r.Header.Get("Retry-After"))
	}
	require.LessOrEqual(t, lost, inRow+1+int(time.Since(began)/probing))
	works.Store(true)
	require.Eventually(t, func() bool {
		r, _ := f.send(entry, "POST", "/stock/1", "x")
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, 10*time.Millisecond)
}

package proxynode

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/message"
)

// downtime is the time until a crashed endpoint is up again. It is longer than the time
// within which broken calls count as one crash.
const downtime = 600 * time.Millisecond

// eventRecorder collects event lines.
type eventRecorder struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *eventRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// fields returns the values of a field in the events of a name.
func (l *eventRecorder) fields(event, field string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var values []string
	for line := range strings.Lines(l.text.String()) {
		if !strings.Contains(line, `"name":"`+event+`"`) {
			continue
		}
		_, value, _ := strings.Cut(line, `"`+field+`":`)
		value, _, _ = strings.Cut(value, ",")
		values = append(values, strings.Trim(value, "}\n"))
	}
	return values
}

// awaitEndpoint waits until the endpoint of a VM is up again after a crash.
func (v *vm) awaitEndpoint(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}, 10*time.Second, settleTime/10)
}

// TestCrashIsDistinguishedFromBrokenConnection checks the events by which operators
// recognise a request that crashes endpoints: the same fingerprint with different crashes.
func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	f := newFleet(t, route("stock", false))
	out := &eventRecorder{}
	f.output = out
	var self *vm
	self = f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/crash") {
			self.crash(downtime)
		}
		panic(http.ErrAbortHandler)
	})
	f.publish()
	send := func(path string) {
		r, _ := f.send(self, "POST", path, "x")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
	}
	send("/stock/broken")
	require.Eventually(t, func() bool { return len(out.fields("answer_broken", "error")) == 1 }, time.Second, settleTime/10)
	send("/stock/crash")
	self.awaitEndpoint(t)
	send("/stock/crash")
	require.Eventually(t, func() bool { return len(out.fields("endpoint_crashed", "fingerprint")) == 2 }, time.Second, settleTime/10)
	prints := out.fields("endpoint_crashed", "fingerprint")
	require.Equal(t, prints[0], prints[1])
}

// newCrashFleet starts a fleet of one service whose endpoints crash on requests to one
// path, and returns a counter of these crashes.
func newCrashFleet(t *testing.T, idempotent bool, size int) (f *fleet, crashed *atomic.Int32) {
	t.Helper()
	f = newFleet(t, route("stock", idempotent))
	crashed = &atomic.Int32{}
	for i := range size {
		f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/crash") {
				crashed.Add(1)
				f.vms[i].crash(downtime)
				panic(http.ErrAbortHandler)
			}
		})
	}
	f.publish()
	return f, crashed
}

// crashesMax is the number of endpoints that one request may crash.
const crashesMax = 2

func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, one := range []struct {
		desc       string
		idempotent bool
	}{
		{"idempotent, retried by nodes", true},
		{"non-idempotent, retried by its client only", false},
	} {
		t.Run(one.desc, func(t *testing.T) {
			f, crashed := newCrashFleet(t, one.idempotent, 4)
			for i := range 8 {
				r, _ := f.send(f.vms[i%len(f.vms)], "POST", "/stock/crash", "x")
				require.GreaterOrEqual(t, r.StatusCode, 500)
				for _, v := range f.vms {
					v.awaitEndpoint(t)
				}
				r, _ = f.send(f.vms[i%len(f.vms)], "POST", "/stock/sound", "x")
				require.Equal(t, http.StatusOK, r.StatusCode, "other requests are served")
			}
			require.LessOrEqual(t, crashed.Load(), int32(crashesMax))
			r, _ := f.send(f.vms[0], "POST", "/stock/crash", "x")
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "the request has not run and will not")
			requireRetryAfter(t, r)
		})
	}
}

// requireRetryAfter checks that the response states when the request will be accepted
// again: ten minutes after the second crash.
func requireRetryAfter(t *testing.T, r wholeResponse) {
	t.Helper()
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 570, wait, 30, "seconds")
}

// TestReplacedNodeReceivesKnownCrashes replaces each node after a request has crashed
// endpoints. The new process has lost the losses of the old one and has to get them from
// other nodes.
func TestReplacedNodeReceivesKnownCrashes(t *testing.T) {
	f, crashed := newCrashFleet(t, true, 3)
	r, _ := f.send(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	require.Equal(t, int32(crashesMax), crashed.Load())
	for i := range f.vms {
		out := &eventRecorder{}
		f.output = out
		f.replaceNode(i)
		require.Eventually(t, func() bool { return len(out.fields("suspect_known", "fingerprint")) > 0 }, 10*time.Second, settleTime/10)
		require.Eventually(t, func() bool {
			r, _ := f.send(f.vms[i], "POST", "/stock/sound", "x")
			return r.StatusCode == http.StatusOK
		}, 10*time.Second, settleTime/10)
	}
	for _, v := range f.vms {
		r, _ := f.send(v, "POST", "/stock/crash", "x")
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	}
	require.Equal(t, int32(crashesMax), crashed.Load())
}

// TestSuspectsFollowRouteToAnotherService changes the configuration so that a route goes
// to another service after one of its requests has crashed endpoints.
func TestSuspectsFollowRouteToAnotherService(t *testing.T) {
	f, crashed := newCrashFleet(t, true, 3)
	entry := f.add("door", http.NotFound)
	f.publish()
	r, _ := f.send(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	before := crashed.Load()
	f.routes[0].Service = "door"
	f.publish()
	require.Eventually(t, func() bool {
		r, _ := f.send(entry, "POST", "/stock/sound", "x")
		return r.StatusCode == http.StatusNotFound // the other service's response
	}, 10*time.Second, settleTime/10)
	r, _ = f.send(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, before, crashed.Load())
}

// TestAbandonedRequestIsSuspectedOfCrash uses clients that disconnect before the endpoint
// crashes while running their request, with nothing else in flight there. Only the next
// request finds the endpoint down.
func TestAbandonedRequestIsSuspectedOfCrash(t *testing.T) {
	f := newFleet(t, route("stock", true))
	out := &eventRecorder{}
	f.output = out
	ended := make(chan struct{}, 1)
	for i := range 3 {
		f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/crash") {
				time.Sleep(settleTime)       // the client has disconnected by then
				f.vms[i].crash(4 * downtime) // until other requests reach the endpoint
				ended <- struct{}{}
			}
		})
	}
	f.publish()
	for _, v := range f.vms { // the impatient client's requests must reach the endpoint
		r, _ := f.send(v, "POST", "/stock/sound", "x")
		require.Equal(t, http.StatusOK, r.StatusCode)
	}
	impatient := &http.Client{Timeout: settleTime / 2, Transport: f.client.Transport}
	for i := range crashesMax {
		response, err := impatient.Do(f.request(f.vms[0], "POST", "/stock/crash", "x"))
		if err == nil {
			_ = response.Body.Close() // the test fails
		}
		require.Error(t, err)
		<-ended
		require.Eventually(t, func() bool {
			for _, v := range f.vms {
				f.send(v, "POST", "/stock/sound", "x")
			}
			return len(out.fields("endpoint_crashed", "fingerprint")) == i+1
		}, 4*downtime, time.Millisecond)
		for _, v := range f.vms {
			v.awaitEndpoint(t)
		}
	}
	r, _ := f.send(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "quarantined")
}

// TestBystanderRequestIsNotQuarantined has a harmless request in flight during two crashes
// that is served successfully in between.
func TestBystanderRequestIsNotQuarantined(t *testing.T) {
	f := newFleet(t, route("stock", true))
	slow := make(chan struct{})
	var self *vm
	self = f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		switch {
		case strings.Contains(r.URL.Path, "/crash"):
			<-slow // the other request is in flight
			self.crash(downtime)
			panic(http.ErrAbortHandler)
		case r.URL.Query().Has("hold"):
			select {
			case slow <- struct{}{}:
				<-r.Context().Done()
			case <-time.After(settleTime): // no crash is planned
			}
		}
	})
	f.publish()
	served := func() bool {
		r, _ := f.send(self, "GET", "/stock/sound?hold", "")
		return r.StatusCode == http.StatusOK
	}
	require.True(t, served())
	for _, path := range []string{"/stock/crash-1", "/stock/crash-2"} {
		crashed := make(chan struct{})
		go func() {
			defer close(crashed)
			f.send(self, "GET", path, "")
		}()
		require.False(t, served(), "the endpoint crashes")
		<-crashed
		self.awaitEndpoint(t)
		require.Eventually(t, served, 10*time.Second, settleTime/10)
	}
}

// TestUninformedNodeIsRefused sends a crashing request through another node of its caller's service,
// which has not received the losses: the endpoint's node refuses it.
func TestUninformedNodeIsRefused(t *testing.T) {
	f, crashed := newCrashFleet(t, true, 2)
	informed, entry := f.add("door", http.NotFound), f.add("door", http.NotFound)
	f.publish()
	f.send(informed, "POST", "/stock/crash", "x")
	require.Equal(t, int32(crashesMax), crashed.Load())
	for _, v := range f.vms[:2] {
		v.awaitEndpoint(t)
	}
	require.Eventually(t, func() bool {
		r, _ := f.send(entry, "POST", "/stock/sound", "x")
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, settleTime/10)
	r, body := f.send(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Contains(t, body, "endpoints that ran this request crashed")
	requireRetryAfter(t, r)
	require.Equal(t, int32(crashesMax), crashed.Load())
}

// TestNewProcessKnowsCrashesBeforeItsFirstCall replaces a node and calls it at once, as a
// node does that knows nothing of the crashes, such as one of another service.
func TestNewProcessKnowsCrashesBeforeItsFirstCall(t *testing.T) {
	f, crashed := newCrashFleet(t, true, 3)
	f.send(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, int32(crashesMax), crashed.Load())
	for i, v := range f.vms {
		for _, one := range f.vms {
			one.awaitEndpoint(t)
		}
		require.Eventually(t, func() bool { return f.knowsSuspects(i) }, 10*time.Second, settleTime/10)
		f.replaceNode(i)
		reply := f.callNode(i, &calllink.Call{
			Service: v.service, Endpoint: v.id, Route: "r-stock", CallerService: "stock", Idempotent: true, RemainingMs: 5000,
			Method: "POST", Target: "/stock/crash", Host: "door.example", Body: message.NewBody([]byte("x")),
			Fields: []string{"Request-Id", "id-1"},
		})
		require.Equal(t, calllink.RefusedQuarantined, reply.Refused, "node %d: %s", i, reply.Detail)
	}
	require.Equal(t, int32(crashesMax), crashed.Load())
}

// knowsSuspects reports whether the node of a VM refuses the request that crashes endpoints.
func (f *fleet) knowsSuspects(i int) bool {
	r, _ := f.send(f.vms[i], "POST", "/stock/crash", "x")
	return r.StatusCode == http.StatusServiceUnavailable
}

// callNode sends a call to the node of the i-th VM over a link of its own.
func (f *fleet) callNode(i int, call *calllink.Call) *calllink.Reply {
	f.t.Helper()
	start := time.Now()
	l := calllink.New(f.address(i, 1), func() time.Duration { return time.Since(start) }, func() []byte { return nil }, func([]quarantine.Loss) {})
	defer l.Close()
	reply, err := l.Do(f.t.Context(), call)
	require.NoError(f.t, err)
	return reply
}

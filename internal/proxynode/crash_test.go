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
)

// downtime is the time after which an endpoint that crashed is back. It is longer than
// the time within which broken calls belong to one crash.
const downtime = 600 * time.Millisecond

// lines collects events.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// fields returns the values of a field in the events of a name.
func (l *lines) fields(event, field string) []string {
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

// awaitEndpoint waits until the endpoint of a VM has started again after a crash.
func (v *vm) awaitEndpoint(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", v.address)
		if err != nil {
			return false
		}
		return c.Close() == nil
	}, 10*time.Second, meanwhile/10)
}

// TestCrashIsToldFromABrokenConnection holds what operators need to recognise a request
// that crashes endpoints: the same fingerprint with different crashes.
func TestCrashIsToldFromABrokenConnection(t *testing.T) {
	f := newFleet(t, route("stock", false))
	out := &lines{}
	f.output = out
	var self *vm
	self = f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/crash") {
			self.crash(downtime)
		}
		panic(http.ErrAbortHandler)
	})
	f.publish()
	ask := func(path string) {
		r, _ := f.ask(self, "POST", path, "x")
		require.Equal(t, http.StatusBadGateway, r.StatusCode)
	}
	ask("/stock/broken")
	require.Eventually(t, func() bool { return len(out.fields("answer_broken", "error")) == 1 }, time.Second, meanwhile/10)
	ask("/stock/crash")
	self.awaitEndpoint(t)
	ask("/stock/crash")
	require.Eventually(t, func() bool { return len(out.fields("endpoint_crashed", "fingerprint")) == 2 }, time.Second, meanwhile/10)
	prints := out.fields("endpoint_crashed", "fingerprint")
	require.Equal(t, prints[0], prints[1])
}

// crashFleet is a fleet of one service whose endpoints crash on a path, with the
// number of these crashes.
func crashFleet(t *testing.T, idempotent bool, size int) (f *fleet, crashed *atomic.Int32) {
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

func TestRequestThatCrashesEndpointsStopsReachingThem(t *testing.T) {
	for _, one := range []struct {
		desc       string
		idempotent bool
	}{
		{"idempotent, which nodes repeat", true},
		{"non-idempotent, which only its client sends again", false},
	} {
		t.Run(one.desc, func(t *testing.T) {
			f, crashed := crashFleet(t, one.idempotent, 4)
			for i := range 8 {
				r, _ := f.ask(f.vms[i%len(f.vms)], "POST", "/stock/crash", "x")
				require.GreaterOrEqual(t, r.StatusCode, 500)
				for _, v := range f.vms {
					v.awaitEndpoint(t)
				}
				r, _ = f.ask(f.vms[i%len(f.vms)], "POST", "/stock/sound", "x")
				require.Equal(t, http.StatusOK, r.StatusCode, "other requests are served")
			}
			require.LessOrEqual(t, crashed.Load(), int32(crashesMax))
			r, _ := f.ask(f.vms[0], "POST", "/stock/crash", "x")
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "it has not run and will not")
			requireNextTry(t, r)
		})
	}
}

// requireNextTry checks that a client is told when its request will be tried again: ten
// minutes after the second crash.
func requireNextTry(t *testing.T, r received) {
	t.Helper()
	wait, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 570, wait, 30, "seconds")
}

// TestReplacedNodeKnowsCrashesOfBefore plays a node that is replaced after a request has
// crashed endpoints: what it knew is gone with its process.
func TestReplacedNodeKnowsCrashesOfBefore(t *testing.T) {
	f, crashed := crashFleet(t, true, 3)
	r, _ := f.ask(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	require.Equal(t, int32(crashesMax), crashed.Load())
	for i := range f.vms {
		out := &lines{}
		f.output = out
		f.replaceNode(i)
		require.Eventually(t, func() bool { return len(out.fields("suspect_known", "fingerprint")) > 0 }, 10*time.Second, meanwhile/10)
		require.Eventually(t, func() bool {
			r, _ := f.ask(f.vms[i], "POST", "/stock/sound", "x")
			return r.StatusCode == http.StatusOK
		}, 10*time.Second, meanwhile/10)
	}
	for _, v := range f.vms {
		r, _ := f.ask(v, "POST", "/stock/crash", "x")
		require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	}
	require.Equal(t, int32(crashesMax), crashed.Load())
}

// TestRouteThatMovesTakesItsSuspectsAlong plays a configuration that sends a route to
// another service after a request of it has crashed endpoints.
func TestRouteThatMovesTakesItsSuspectsAlong(t *testing.T) {
	f, crashed := crashFleet(t, true, 3)
	entry := f.add("door", http.NotFound)
	f.publish()
	r, _ := f.ask(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusBadGateway, r.StatusCode)
	before := crashed.Load()
	f.routes[0].Service = "door"
	f.publish()
	require.Eventually(t, func() bool {
		r, _ := f.ask(entry, "POST", "/stock/sound", "x")
		return r.StatusCode == http.StatusNotFound // the other service's answer
	}, 10*time.Second, meanwhile/10)
	r, _ = f.ask(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Equal(t, before, crashed.Load())
}

// TestRequestWhoseClientLeftBeforeTheCrashIsASuspect plays clients that leave before the
// endpoint crashes under their request, with nothing else in flight there. What finds the
// endpoint down is the next request.
func TestRequestWhoseClientLeftBeforeTheCrashIsASuspect(t *testing.T) {
	f := newFleet(t, route("stock", true))
	out := &lines{}
	f.output = out
	ended := make(chan struct{}, 1)
	for i := range 3 {
		f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/crash") {
				time.Sleep(meanwhile)        // its client has left by then
				f.vms[i].crash(4 * downtime) // until other requests come to it
				ended <- struct{}{}
			}
		})
	}
	f.publish()
	impatient := &http.Client{Timeout: meanwhile / 2, Transport: f.client.Transport}
	for i := range crashesMax {
		response, err := impatient.Do(f.request(f.vms[0], "POST", "/stock/crash", "x"))
		if err == nil {
			_ = response.Body.Close() // the test fails
		}
		require.Error(t, err)
		<-ended
		require.Eventually(t, func() bool {
			for _, v := range f.vms {
				f.ask(v, "POST", "/stock/sound", "x")
			}
			return len(out.fields("endpoint_crashed", "fingerprint")) == i+1
		}, 4*downtime, time.Millisecond)
		for _, v := range f.vms {
			v.awaitEndpoint(t)
		}
	}
	r, _ := f.ask(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode, "held back")
}

// TestRequestThatWasOnlyThereIsExcused plays a sound request that is in flight at two
// crashes and is served in between.
func TestRequestThatWasOnlyThereIsExcused(t *testing.T) {
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
			case <-time.After(meanwhile): // no crash is due
			}
		}
	})
	f.publish()
	served := func() bool {
		r, _ := f.ask(self, "GET", "/stock/sound?hold", "")
		return r.StatusCode == http.StatusOK
	}
	require.True(t, served())
	for _, path := range []string{"/stock/crash-1", "/stock/crash-2"} {
		crashed := make(chan struct{})
		go func() {
			defer close(crashed)
			f.ask(self, "GET", path, "")
		}()
		require.False(t, served(), "its endpoint crashes")
		<-crashed
		self.awaitEndpoint(t)
		require.Eventually(t, served, 10*time.Second, meanwhile/10)
	}
}

// TestEntranceThatKnowsNothingIsRefused plays a node of another service, which nobody
// tells of crashes that it had no part in.
func TestEntranceThatKnowsNothingIsRefused(t *testing.T) {
	f, crashed := crashFleet(t, true, 2)
	entry := f.add("door", http.NotFound)
	f.publish()
	f.ask(f.vms[0], "POST", "/stock/crash", "x")
	require.Equal(t, int32(crashesMax), crashed.Load())
	for _, v := range f.vms[:2] {
		v.awaitEndpoint(t)
	}
	require.Eventually(t, func() bool {
		r, _ := f.ask(entry, "POST", "/stock/sound", "x")
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, meanwhile/10)
	r, body := f.ask(entry, "POST", "/stock/crash", "x")
	require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
	require.Contains(t, body, "endpoints that ran this request crashed")
	requireNextTry(t, r)
	require.Equal(t, int32(crashesMax), crashed.Load())
}

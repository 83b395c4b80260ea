package proxynode

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/message"
)

// callerFleet is a fleet of a service "stock" whose endpoints crash on the requests of some callers to one
// path. Requests of other callers with the same path and body are sound.
type callerFleet struct {
	*fleet
	crashed atomic.Int32
	front   *vm // of a service whose requests are sound
}

// fatalPath is the path that crashes endpoints.
const fatalPath = "/stock/crash"

func newCallerFleet(t *testing.T, idempotent bool, endpoints int, fatal func(caller string) bool) *callerFleet {
	t.Helper()
	f := &callerFleet{fleet: newFleet(t, route("stock", idempotent))}
	for i := range endpoints {
		f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == fatalPath && fatal(r.Header.Get(testHeaders().CallerService)) {
				f.crashed.Add(1)
				f.vms[i].crash(downtime)
				panic(http.ErrAbortHandler)
			}
		})
	}
	f.front = f.add("front", http.NotFound)
	return f
}

// awaitEndpoints waits until all endpoints are up again.
func (f *callerFleet) awaitEndpoints() {
	f.t.Helper()
	for _, v := range f.vms {
		v.awaitEndpoint(f.t)
	}
}

// requireServed sends the sound request until it is served: crashes may have broken off the first ones.
func (f *callerFleet) requireServed() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		r, _ := f.send(f.front, "POST", fatalPath, "x")
		return r.StatusCode == http.StatusOK
	}, 10*time.Second, settleTime/10)
}

func fatalOf(caller string) func(string) bool {
	return func(other string) bool { return other == caller }
}

// TestSoundRequestOfAnotherCallerExcusesNoCrash guards against a request that crashes endpoints for ever
// since another service sends the same path and body with success.
func TestSoundRequestOfAnotherCallerExcusesNoCrash(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			f := newCallerFleet(t, idempotent, 3, fatalOf("door"))
			doors := []*vm{f.add("door", http.NotFound), f.add("door", http.NotFound)}
			f.publish()
			for i := range 6 {
				f.requireServed()
				r, _ := f.send(doors[i%2], "POST", fatalPath, "x")
				require.GreaterOrEqual(t, r.StatusCode, 500)
				f.awaitEndpoints()
			}
			require.LessOrEqual(t, f.crashed.Load(), int32(crashesMax))
			for _, door := range doors {
				r, _ := f.send(door, "POST", fatalPath, "x")
				require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
				requireRetryAfter(t, r)
			}
			f.requireServed()
		})
	}
}

// TestEndpointCallIsHeldBackByItsOwnService checks that a call of an endpoint is known by the service of that endpoint.
func TestEndpointCallIsHeldBackByItsOwnService(t *testing.T) {
	f := newCallerFleet(t, true, 3, fatalOf("door"))
	f.routes = append(f.routes, route("door", true))
	var door *vm
	door = f.add("door", func(w http.ResponseWriter, r *http.Request) {
		response, _ := f.send(door, "POST", strings.Replace(r.URL.Path, "/door/", "/stock/", 1), "x")
		w.WriteHeader(response.StatusCode)
	})
	f.publish()
	for range 3 {
		f.send(f.front, "POST", "/door/crash", "y")
		f.awaitEndpoints()
		f.requireServed()
	}
	require.LessOrEqual(t, f.crashed.Load(), int32(crashesMax))
}

// TestEachCallerHasABoundOfItsOwn checks what endpoints see of a content that is fatal whoever sends it.
func TestEachCallerHasABoundOfItsOwn(t *testing.T) {
	f := newCallerFleet(t, true, 3, func(caller string) bool { return caller != "front" })
	callers := []*vm{f.add("door", http.NotFound), f.add("gate", http.NotFound), f.vms[0]}
	f.publish()
	for range 3 {
		for _, caller := range callers {
			f.send(caller, "POST", fatalPath, "x")
			f.awaitEndpoints()
		}
	}
	require.LessOrEqual(t, f.crashed.Load(), int32(crashesMax*len(callers)))
	f.requireServed()
}

// TestCrashesAtOneMomentHoldNoSoundRequestBack guards against a sound request that is refused for ten
// minutes since it was in flight at two endpoints that crashed at the same moment.
func TestCrashesAtOneMomentHoldNoSoundRequestBack(t *testing.T) {
	const soundPath = "/stock/sound"
	f := newFleet(t, route("stock", false))
	var running atomic.Int32
	bothRun := make(chan struct{})
	for i := range 3 {
		f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != soundPath || running.Add(1) > 2 {
				return
			}
			if running.Load() == 2 {
				close(bothRun)
			}
			<-bothRun
			f.vms[i].crash(downtime)
			panic(http.ErrAbortHandler)
		})
	}
	front := f.add("front", http.NotFound)
	f.publish()
	var ended sync.WaitGroup
	for i := range 2 {
		ended.Go(func() {
			reply := f.callNode(i, &calllink.Call{
				Service: "stock", Endpoint: f.vms[i].id, Route: "r-stock", CallerService: "front", RemainingMs: 5000,
				Method: "POST", Target: soundPath, Host: "door.example", Body: message.NewBody([]byte("x")), Fields: []string{"Request-Id", "id-1"},
			})
			require.Zero(t, reply.Status)
		})
	}
	ended.Wait()
	r, body := f.send(front, "POST", soundPath, "x")
	require.Equal(t, http.StatusOK, r.StatusCode, body)
	for _, v := range f.vms {
		v.awaitEndpoint(t)
	}
	r, body = f.send(front, "POST", soundPath, "x")
	require.Equal(t, http.StatusOK, r.StatusCode, body)
}

package proxynode

import (
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/stopping"
)

// TestStopWaitsForWhatWasAcceptedLast guards against a stop that finds nothing in flight and interrupts a request that it accepts
// before it ends.
func TestStopWaitsForWhatWasAcceptedLast(t *testing.T) {
	f := newFleet(t, slowRoute("stock", false))
	entry := f.add("door", http.NotFound)
	running, proceed := make(chan struct{}), make(chan struct{})
	f.add("stock", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stock/1" {
			close(running)
			<-proceed
		}
	})
	f.publish()
	accepted := make(chan int, 1)
	go func() {
		r, _ := f.send(entry, http.MethodPost, "/stock/1", "")
		accepted <- r.StatusCode
	}()
	<-running
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		entry.node.finishAccepted(t.Context(), stopping.At(stopping.Finished, entry.node.now(), stopTestTimeout))
	}()
	require.Eventually(t, func() bool {
		r, _ := f.send(entry, http.MethodPost, "/stock/2", "")
		return r.StatusCode == http.StatusServiceUnavailable && r.Header.Get("Retry-After") != ""
	}, stopTestTimeout, time.Millisecond, "what comes later is refused")
	select {
	case <-finished:
		t.Error("the request is still running")
	default:
	}
	close(proceed)
	require.Equal(t, http.StatusOK, <-accepted)
	<-finished
}

// TestReloadDuringAStopMovesNoDeadline guards against a stop that ends sooner than the node assumed when it accepted a request, as
// the settings name a shorter one meanwhile.
func TestReloadDuringAStopMovesNoDeadline(t *testing.T) {
	f := newFleet(t, slowRoute("stock", false))
	f.stopTime = longStop
	entry := f.add("door", http.NotFound)
	running := make(chan struct{})
	f.stopTime = "1s"
	f.add("stock", func(http.ResponseWriter, *http.Request) {
		close(running)
		time.Sleep(lateTime)
	})
	f.publish()
	accepted := make(chan int, 1)
	go func() {
		r, _ := f.send(entry, http.MethodPost, "/stock/1", "")
		accepted <- r.StatusCode
	}()
	<-running
	entry.stop()
	text, err := os.ReadFile(entry.settings)
	require.NoError(t, err)
	shorter := strings.Replace(string(text), `"stopTimeout":"`+longStop, `"stopTimeout":"1s`, 1)
	require.NoError(t, os.WriteFile(entry.settings, []byte(shorter), 0o600))
	entry.node.reloadSignals <- syscall.SIGHUP
	require.Equal(t, http.StatusOK, <-accepted)
	require.Equal(t, time.Second, entry.node.config.Settings.Load().StopTimeoutDuration(), "the settings are in force")
}

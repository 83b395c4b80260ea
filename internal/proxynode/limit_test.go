package proxynode

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendSteadily sends requests at an interval until a time is over, and returns how many were
// served, without those that found the entry's own connection closed.
func (f *fleet) sendSteadily(entry *vm, path string, interval, duration time.Duration) (sent, served int) {
	var all sync.WaitGroup
	var ok atomic.Int32
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		sent++
		all.Go(func() {
			if r, _ := f.send(entry, "GET", path, ""); r.StatusCode == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	all.Wait()
	return sent, int(ok.Load())
}

// TestEndpointInNeedGetsNoMoreThanItsLimit has one of three endpoints name a limit, restarts its
// node, and ends the limit.
func TestEndpointInNeedGetsNoMoreThanItsLimit(t *testing.T) {
	const (
		limit    = 8.0
		duration = 4 * time.Second
	)
	f := newFleet(t, route("stock", true))
	entry := f.add("door", http.NotFound)
	var arrived atomic.Int32
	var inNeed atomic.Bool
	inNeed.Store(true)
	limited := f.add("stock", func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		if inNeed.Load() {
			w.Header().Set("Rate-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
	})
	for range 2 {
		f.add("stock", func(_ http.ResponseWriter, _ *http.Request) { time.Sleep(5 * time.Millisecond) })
	}
	f.publish()
	f.sendSteadily(entry, "/stock/1", 10*time.Millisecond, time.Second)

	arrived.Store(0)
	restarted := make(chan struct{})
	time.AfterFunc(duration/2, func() {
		defer close(restarted)
		f.replaceNode(1)
	})
	sent, served := f.sendSteadily(entry, "/stock/1", 5*time.Millisecond, duration)
	<-restarted
	require.LessOrEqual(t, float64(arrived.Load()), 1.5*limit*duration.Seconds()+5, "of %d requests", sent)
	require.GreaterOrEqual(t, served, sent*99/100, "the others serve them")

	inNeed.Store(false)
	require.Eventually(t, func() bool {
		arrived.Store(0)
		f.sendSteadily(entry, "/stock/1", 5*time.Millisecond, time.Second)
		return arrived.Load() > 2*limit
	}, 10*time.Second, time.Millisecond, "the limit has ended")
	require.NotNil(t, limited)
}

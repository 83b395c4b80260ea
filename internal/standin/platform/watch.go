package platform

import (
	"context"
	"net/http"
	"time"
)

// watchCountInterval is the interval at which a waiting watch is counted as another
// read.
const watchCountInterval = time.Second

// watch responds when the revision of the key exceeds q.after or when the maximum
// wait has elapsed.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, q query) {
	p.limiter.addWatches(1)
	defer p.limiter.addWatches(-1)
	start := time.Now()
	counted := 1 // number of counted intervals, including the initial call
	for {
		view := p.store.View()
		if view.Mode == ModeDown {
			refuseDown(w, view.ClosesConnections)
			return
		}
		if e, ok := view.State.Get(q.key); ok && e.Revision > q.after {
			writeKey(w, view.State, q.key)
			return
		}
		elapsed := time.Since(start)
		untilCount := time.Duration(counted)*watchCountInterval - elapsed
		switch wait(r.Context(), view.Changed, q.wait-elapsed, untilCount) {
		case waitCancelled:
			// The reader disconnected or the platform is stopping: send no response.
			panic(http.ErrAbortHandler)
		case waitElapsed:
			writeUnchanged(w, view.State, q.key)
			return
		case waitCount:
			counted++
			if !p.admit(q.key) {
				http.Error(w, "over the limit of reads", http.StatusTooManyRequests)
				return
			}
		case waitChanged:
		}
	}
}

// waitEnd is the reason why a wait ended.
type waitEnd int

const (
	waitCancelled waitEnd = iota // the context ended
	waitChanged                  // the view changed
	waitElapsed                  // the maximum wait has elapsed
	waitCount                    // the next interval must be counted
)

// wait waits until the view changes, the remaining wait elapses, the next interval
// must be counted or ctx ends, and returns the reason.
func wait(ctx context.Context, changed <-chan struct{}, remaining, untilCount time.Duration) waitEnd {
	timeout, cancel := context.WithTimeout(ctx, min(remaining, untilCount))
	defer cancel()
	select {
	case <-changed:
		return waitChanged
	case <-timeout.Done():
	}
	switch {
	case ctx.Err() != nil:
		return waitCancelled
	case remaining <= untilCount:
		return waitElapsed
	}
	return waitCount
}

package platform

import (
	"context"
	"net/http"
	"time"
)

// watchCountInterval is the time after which a waiting watch counts again.
const watchCountInterval = time.Second

// watch answers when the key is newer than q.after, or when the wait is over.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, q query) {
	p.meter.watching(1)
	defer p.meter.watching(-1)
	start := time.Now()
	counted := 1 // seconds of the wait that were counted; the arrival was the first
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
		waited := time.Since(start)
		countIn := time.Duration(counted)*watchCountInterval - waited
		switch wait(r.Context(), view.Changed, q.wait-waited, countIn) {
		case waitGone:
			// The reader is gone or the platform stops: there is no answer.
			panic(http.ErrAbortHandler)
		case waitOver:
			writeUnchanged(w, view.State, q.key)
			return
		case waitCount:
			counted++
			if !p.count(q.key) {
				http.Error(w, "over the limit of reads", http.StatusTooManyRequests)
				return
			}
		case waitChanged:
		}
	}
}

// waitEnd says why a watch stopped waiting.
type waitEnd int

const (
	waitGone    waitEnd = iota // the reader went away
	waitChanged                // the view changed
	waitOver                   // the wait is over
	waitCount                  // the next second must be counted
)

// wait waits for a change of the view, until the next second of a watch must be
// counted, or until its end, and reports which came.
func wait(ctx context.Context, changed <-chan struct{}, left, countIn time.Duration) waitEnd {
	next, cancel := context.WithTimeout(ctx, min(left, countIn))
	defer cancel()
	select {
	case <-changed:
		return waitChanged
	case <-next.Done():
	}
	switch {
	case ctx.Err() != nil:
		return waitGone
	case left <= countIn:
		return waitOver
	}
	return waitCount
}

// Package wait implements waits with a context or a limit, and periodic calls. It uses
// no timer channels, so that its callers can be tested in a bubble of testing/synctest
// under the race detector (see internal/arch).
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, whichever is sooner. It reports whether the
// whole time has passed.
func For(ctx context.Context, d time.Duration) bool {
	timeout, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timeout.Done()
	return ctx.Err() == nil
}

// ForDone waits until done is closed, at most for limit. It reports whether done was
// closed.
func ForDone(done <-chan struct{}, limit time.Duration) bool {
	timeout, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-done:
		return true
	case <-timeout.Done():
		return false
	}
}

// Every calls f after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	for For(ctx, interval) {
		f()
	}
}

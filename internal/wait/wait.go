// Package wait waits for a time, for an event with a bound, or again and again.
// It uses no channel of a timer, so that code that waits with it can be tested in
// a bubble of testing/synctest under the race detector (internal/arch).
package wait

import (
	"context"
	"time"
)

// For returns after a time, or when ctx ends if that is sooner. It reports
// whether the whole time has passed.
func For(ctx context.Context, d time.Duration) bool {
	timeout, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-timeout.Done()
	return ctx.Err() == nil
}

// ForDone returns when done is closed, or after a time if that is sooner. It reports
// whether done was closed.
func ForDone(done <-chan struct{}, longest time.Duration) bool {
	timeout, cancel := context.WithTimeout(context.Background(), longest)
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

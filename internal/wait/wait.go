// Package wait waits for a time or for the end of a context.
package wait

import (
	"context"
	"time"
)

// For returns after a time, or when ctx ends if that is sooner.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

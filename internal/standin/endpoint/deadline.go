package endpoint

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// errDeadline is what a read returns when its deadline has passed.
var errDeadline = os.ErrDeadlineExceeded

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// sleep waits for d, and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/stopping"
)

// TestRetryAfterOfAStoppingNode guards against a stopping node that has refused clients return while it still refuses them.
func TestRetryAfterOfAStoppingNode(t *testing.T) {
	const (
		now   = time.Minute
		limit = 6 * time.Second
	)
	late := stopping.At(stopping.Refusing, now-3*time.Second, limit)
	tests := []struct {
		desc     string
		stop     stopping.Stop
		left     time.Duration
		min, max time.Duration
	}{
		{"no stop", stopping.Stop{}, time.Minute, retryAfterMin, retryAfterMax},
		{"requests are still accepted", stopping.At(stopping.Draining, now-time.Second, limit), time.Minute, retryAfterMin, retryAfterMax},
		{"requests are refused", late, time.Minute, late.EndsAt - now + retryAfterMin, late.EndsAt - now + retryAfterMax},
		{"the client has little time", late, 3 * time.Second, time.Second, time.Second},
		{"the stop is over", stopping.At(stopping.Finished, now-limit, limit), time.Minute, retryAfterMin, retryAfterMax},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			router := &requestRouter{config: Config{Now: func() time.Duration { return now }}, stop: func() stopping.Stop { return test.stop }}
			wait := (&routedRequest{router: router, clientDeadline: now + test.left}).retryAfter()
			require.GreaterOrEqual(t, wait, test.min)
			require.LessOrEqual(t, wait, test.max)
		})
	}
}

package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFailedNodeIsExcludedTemporarily(t *testing.T) {
	h := newHealth()
	now := time.Unix(0, 0)
	require.True(t, h.usable("a", now))
	h.recordFailure("a", now)
	require.False(t, h.usable("a", now.Add(initialExclusion-1)))
	require.True(t, h.usable("a", now.Add(initialExclusion)))
	h.recordFailure("a", now)
	require.False(t, h.usable("a", now.Add(2*initialExclusion-1)))
	h.recordAnswer("a")
	require.True(t, h.usable("a", now))
}

// A node runs nothing with a token that it refused, so the retry needs a new token.
func TestRefusedTokenIsReplaced(t *testing.T) {
	var mu sync.Mutex
	tokens := 0
	seen := map[string]int{}
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if r.URL.Path == tokenPath {
			tokens++
			_, _ = w.Write([]byte(`{"token":"token-` + string(rune('0'+tokens)) + `","lifetimeMs":1000}`))
			return
		}
		seen[r.Header.Get(headerKey)]++
		if len(seen) < 2 {
			w.Header().Set(headerKind, kindOverloaded)
			w.Header().Set(headerExecution, "no")
			w.Header().Set(headerRetryAfter, "0")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer node.Close()
	c, err := New([]string{node.Listener.Addr().String()}, WithBackoff(ConstantBackoff(0)))
	require.NoError(t, err)
	defer c.Close()
	answer, err := c.Do(context.Background(), &Request{Method: http.MethodPost, Path: "/book"})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, answer.Status)
	require.Equal(t, map[string]int{"token-1": 1, "token-2": 1}, seen)
}

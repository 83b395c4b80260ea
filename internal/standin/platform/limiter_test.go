package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/strictjson"
)

func TestReadRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, nil)
		p.mustPut("catalogue", "one")
		statuses := map[int]int{}
		for range DefaultReadsPerSecond + 5 {
			statuses[p.read("catalogue").status]++
		}
		require.Equal(t, map[int]int{200: DefaultReadsPerSecond, 429: 5}, statuses)
		time.Sleep(time.Second)
		require.Equal(t, 200, p.read("catalogue").status)
		c := p.Counters()
		require.Equal(t, DefaultReadsPerSecond+5, c.PeakPerSecond)
		require.Equal(t, DefaultReadsPerSecond+5, c.ReadsPerSecond)
		require.EqualValues(t, DefaultReadsPerSecond+1, c.Total)
		require.EqualValues(t, 5, c.Refused)
		require.Equal(t, []KeyCounters{{Key: "catalogue", Reads: DefaultReadsPerSecond + 1, Refused: 5}}, c.Keys)
		time.Sleep(2 * time.Second)
		require.Zero(t, p.Counters().ReadsPerSecond)
	})
}

func TestResetCountersKeepsCurrentWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, func(s *Settings) { s.ReadsPerSecond = 1 })
		p.read("none")
		require.Equal(t, http.StatusNoContent, p.admin(http.MethodDelete, "/admin/counters", ""))
		require.Equal(t, Counters{Limit: 1, Keys: []KeyCounters{}}, p.Counters())
		require.Equal(t, 429, p.read("none").status)
		time.Sleep(time.Second)
		require.Equal(t, 404, p.read("none").status)
	})
}

func TestCallsCountRegardlessOfOutcome(t *testing.T) {
	p := newTestPlatform(t, nil)
	p.read("none")
	p.get(t.Context(), "/v1/keys/none?after=x")
	p.mustSetMode(`{"mode":"down"}`)
	p.read("none")
	require.EqualValues(t, 3, p.Counters().Total)
}

func TestWaitingWatchCountsOncePerSecond(t *testing.T) {
	tests := []struct {
		desc  string
		wait  time.Duration
		count uint64
	}{
		{desc: "no wait", wait: 0, count: 1},
		{desc: "within the first second", wait: 999 * time.Millisecond, count: 1},
		{desc: "exactly one second", wait: time.Second, count: 1},
		{desc: "into the second second", wait: 1001 * time.Millisecond, count: 2},
		{desc: "two and a half seconds", wait: 2500 * time.Millisecond, count: 3},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestPlatform(t, nil)
				p.mustPut("catalogue", "one")
				got := <-p.watch(t.Context(), "catalogue", 1, test.wait)
				require.Equal(t, 304, got.status)
				require.Equal(t, test.wait, got.elapsed)
				require.Equal(t, test.count, p.Counters().Total)
			})
		})
	}
}

func TestWaitingWatchCountsTowardsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform(t, func(s *Settings) { s.ReadsPerSecond = 2 })
		p.mustPut("catalogue", "one")
		time.Sleep(100 * time.Millisecond)
		first := p.watch(t.Context(), "catalogue", 1, 10*time.Second)
		second := p.watch(t.Context(), "catalogue", 1, 10*time.Second)
		synctest.Wait()
		require.Equal(t, 429, p.read("catalogue").status)

		// In the next second, a read is counted before both watches.
		time.Sleep(950 * time.Millisecond)
		require.Equal(t, 200, p.read("catalogue").status)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, p.Counters().Watches)
		require.EqualValues(t, 2, p.Counters().Refused)

		p.mustPut("catalogue", "two")
		statuses := []int{(<-first).status, (<-second).status}
		require.ElementsMatch(t, []int{200, 429}, statuses)
	})
}

func TestLimiterAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		start := time.Unix(0, 0)
		l := newLimiter(limit, start)
		calls := map[int64]int{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap ms")) * time.Millisecond
			second := int64(now / time.Second)
			calls[second]++
			require.Equal(t, calls[second] <= limit, l.call("k", start.Add(now)).allowed)
		}
		peak, allowed := 0, 0
		for _, n := range calls {
			peak = max(peak, n)
			allowed += min(n, limit)
		}
		c := l.counters(start.Add(now))
		require.Equal(t, peak, c.PeakPerSecond)
		require.EqualValues(t, allowed, c.Total)
	})
}

func TestNumberOfCountedKeysIsBounded(t *testing.T) {
	l := newLimiter(1e6, time.Unix(0, 0))
	for i := range maxCountedKeys + 10 {
		l.call(string(rune('a'+i)), time.Unix(0, 0))
	}
	keys := l.counters(time.Unix(0, 0)).Keys
	require.Len(t, keys, maxCountedKeys+1)
	require.Contains(t, keys, KeyCounters{Key: otherKeys, Reads: 10})
}

func TestAdminRejectsInvalidRequests(t *testing.T) {
	p := newTestPlatform(t, nil)
	tests := []struct {
		desc, target, body string
	}{
		{"unknown mode", "/admin/mode", `{"mode":"sideways"}`},
		{"unknown field", "/admin/mode", `{"mode":"up","speed":1}`},
		{"rollback without revisions", "/admin/mode", `{"mode":"rollback"}`},
		{"rollback beyond the history", "/admin/mode", `{"mode":"rollback","revisions":1}`},
		{"negative lag", "/admin/lag", `{"vmListLagMs":-1}`},
		{"invalid JSON", "/admin/lag", `lag`},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, http.StatusBadRequest, p.admin(http.MethodPut, test.target, test.body))
		})
	}
	w := httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/admin/counters", nil))
	c := Counters{}
	require.NoError(t, strictjson.Decode("counters", w.Body.Bytes(), &c))
	require.Equal(t, DefaultReadsPerSecond, c.Limit)
}

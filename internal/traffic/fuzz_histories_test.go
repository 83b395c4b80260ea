package traffic

import (
	"fmt"
	"os"
	"runtime"
	"sort"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

const (
	// historiesVariable sets the number of histories.
	historiesVariable = "GALENACART_HISTORIES"
	// seedVariable plays the one history of a seed and prints its script.
	seedVariable = "GALENACART_HISTORY_SEED"
	// historiesDefault is the number of histories of an ordinary test run.
	historiesDefault = 400
)

// TestHistories plays random histories of a fleet under faults and lets the
// oracle judge them.
func TestHistories(t *testing.T) {
	tl := newTally()
	count, first := historyRange(t)
	var next atomic.Int64
	next.Store(int64(first))
	t.Run("play", func(t *testing.T) {
		for shard := range runtime.GOMAXPROCS(0) {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for seed := next.Add(1) - 1; seed < int64(first+count); seed = next.Add(1) - 1 {
					playSeed(t, int(seed), tl)
				}
			})
		}
	})
	tl.report(t)
}

func historyRange(t *testing.T) (count, first int) {
	t.Helper()
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Logf("%+v", scripts.Example(seed))
		return 1, seed
	}
	if text := os.Getenv(historiesVariable); text != "" {
		count, err := strconv.Atoi(text)
		require.NoError(t, err)
		return count, 1
	}
	return historiesDefault, 1
}

func playSeed(t *testing.T, seed int, tl *tally) {
	t.Helper()
	s := scripts.Example(seed)
	var found []string
	synctest.Test(t, func(*testing.T) {
		found = newHistory(&s, tl).play()
	})
	tl.add("history")
	for _, one := range found {
		t.Errorf("seed %d: %s", seed, one)
	}
}

// report prints how often each thing happened.
func (t *tally) report(test *testing.T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.counts))
	for name := range t.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%8d %s\n", t.counts[name], name)
	}
	_ = test
}

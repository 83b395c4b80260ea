package traffic

import (
	"os"
	"runtime"
	"strconv"
	"sync"
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
	// historiesMany is a number of histories in which rare things happen too.
	historiesMany = 5000
	// firstSeed is the seed of the first history; the others count up.
	firstSeed = 1
)

// mustHappen lists what at least one history of every run has to reach.
var mustHappen = []string{
	"replace", "pause", "leave", "part", "silence", "abort-endpoint",
	"cut-before", "cut-after", "silent", "delay", "repeat",
	"run:answer", "run:refuse", "run:abort", "run:truncate", "run:break", "run:large", "run:chunked",
	"endpoint-crash", "endpoint-resend", "replayed",
	"answer:whole", "answer:none", "answer:yes:answer_broken",
	"answer:no:unreachable", "answer:no:leaving", "answer:no:token_expired",
	"answer:unknown:connection_lost", "answer:unknown:home_gone", "answer:unknown:home_unreachable",
	"answer:fence-no", "answer:fence-unknown", "answer:fence-yes",
}

// rarelyHappens lists what a run of historiesMany histories has to reach too.
var rarelyHappens = []string{
	"answer:no:connection_lost", "answer:no:records_full", "answer:no:suspect", "answer:no:retry_budget",
	"answer:no:overloaded_everywhere", "answer:unknown:timeout", "answer:unknown:token_expired",
}

// campaign is the playing of many histories.
type campaign struct {
	tally *tally
	next  atomic.Int64

	mu    sync.Mutex
	found [promiseCount][]string
}

// TestHistories plays random histories of a fleet under faults and lets the
// oracle judge them. Each promise is a test of its own.
func TestHistories(t *testing.T) {
	c := &campaign{tally: newTally()}
	first, last := historyRange(t)
	c.next.Store(first)
	t.Run("play", func(t *testing.T) {
		for shard := range runtime.GOMAXPROCS(0) {
			t.Run(strconv.Itoa(shard), func(t *testing.T) {
				t.Parallel()
				for seed := c.next.Add(1) - 1; seed <= last; seed = c.next.Add(1) - 1 {
					c.playSeed(t, int(seed))
				}
			})
		}
	})
	t.Logf("what happened:\n%s", c.tally)
	for p, found := range c.found {
		t.Run(promiseNames[p], func(t *testing.T) {
			for _, one := range found {
				t.Error(one)
			}
		})
	}
	t.Run("reached", func(t *testing.T) {
		if last-first+1 < historiesDefault {
			t.Skipf("only %d histories were asked for", last-first+1)
		}
		for _, name := range mustHappen {
			require.Positive(t, c.tally.count(name), name)
		}
		if last-first+1 < historiesMany {
			return
		}
		for _, name := range rarelyHappens {
			require.Positive(t, c.tally.count(name), name)
		}
	})
}

// historyRange returns the first and the last seed.
func historyRange(t *testing.T) (first, last int64) {
	t.Helper()
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Logf("%+v", scripts.Example(seed))
		return int64(seed), int64(seed)
	}
	count := historiesDefault
	if text := os.Getenv(historiesVariable); text != "" {
		var err error
		count, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	return firstSeed, int64(firstSeed + count - 1)
}

func (c *campaign) playSeed(t *testing.T, seed int) {
	t.Helper()
	s := scripts.Example(seed)
	var found []finding
	synctest.Test(t, func(*testing.T) {
		found = newHistory(&s, c.tally).play()
	})
	c.tally.add("history")
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range found {
		c.found[one.promise] = append(c.found[one.promise], "seed "+strconv.Itoa(seed)+": "+one.text)
	}
}

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
	// seedVariable selects the history of one seed, whose script is printed.
	seedVariable = "GALENACART_HISTORY_SEED"
	// historiesDefault is the number of histories of an ordinary test run.
	historiesDefault = 400
	// historiesMany is the number of histories from which on rare outcomes are
	// required too.
	historiesMany = 5000
	// firstSeed is the seed of the first history. The others follow in sequence.
	firstSeed = 1
)

// requiredEvents lists the events and outcomes that every run must reach.
var requiredEvents = []string{
	"replace", "pause", "leave", "part", "silence", "abort-endpoint",
	"cut-before", "cut-after", "silent", "delay", "repeat",
	"run:answer", "run:refuse", "run:abort", "run:truncate", "run:break", "run:large", "run:chunked",
	"endpoint-crash", "endpoint-resend", "replayed",
	"answer:whole", "answer:none", "answer:yes:answer_broken",
	"answer:no:unreachable", "answer:no:leaving", "answer:no:token_expired",
	"answer:unknown:connection_lost", "answer:unknown:home_gone", "answer:unknown:home_unreachable",
	"answer:fence-no", "answer:fence-unknown", "answer:fence-yes",
}

// rareEvents lists those that a run of historiesMany histories must reach too.
var rareEvents = []string{
	"answer:no:connection_lost", "answer:no:records_full", "answer:no:suspect", "answer:no:retry_budget",
	"answer:no:overloaded_everywhere", "answer:unknown:timeout", "answer:unknown:token_expired",
}

// campaign is one run of many histories.
type campaign struct {
	tally *tally
	next  atomic.Int64

	mu    sync.Mutex
	found [invariantCount][]string
}

// TestHistories runs random histories of a fleet under faults and checks them with
// the oracle. Each invariant is a subtest.
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
	t.Logf("events and outcomes:\n%s", c.tally)
	for p, found := range c.found {
		t.Run(invariantNames[p], func(t *testing.T) {
			for _, one := range found {
				t.Error(one)
			}
		})
	}
	t.Run("reached", func(t *testing.T) {
		if last-first+1 < historiesDefault {
			t.Skipf("only %d histories were requested", last-first+1)
		}
		for _, name := range requiredEvents {
			require.Positive(t, c.tally.count(name), name)
		}
		if last-first+1 < historiesMany {
			return
		}
		for _, name := range rareEvents {
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
		c.found[one.invariant] = append(c.found[one.invariant], "seed "+strconv.Itoa(seed)+": "+one.text)
	}
}

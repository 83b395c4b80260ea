package idempotency

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const lifetime = 10 * time.Second

func key(n uint64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], n)
	return k
}

// The test keeps every start as a reference. While a token is valid, the table must
// never start a key twice nor start one that it reported as not run.
func TestAtMostOnceWhileTokensAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "records")
		table := NewTable[int](Config{RecordsMax: limit, Lifetime: lifetime})
		now := time.Duration(0)
		started := map[Key]int{}
		running := map[Key]bool{}
		reportedNotRun := map[Key]bool{}
		issued := map[Key]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			k := key(rapid.Uint64Range(1, 8).Draw(t, "key"))
			if _, ok := issued[k]; !ok {
				issued[k] = now
			}
			if CheckToken(now, issued[k], lifetime) == VerdictExpired {
				continue
			}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				if verdict, _ := table.Begin(now, k, 1); verdict == VerdictRun {
					started[k]++
					running[k] = true
				}
			case 1:
				if running[k] {
					table.Finish(now, k, StateAnswered, 5)
					running[k] = false
				}
			case 2:
				if r := table.Fence(now, k, 1, 0); r != nil && r.State == StateNotRun {
					reportedNotRun[k] = true
				}
			}
			require.LessOrEqual(t, started[k], 1)
			require.False(t, reportedNotRun[k] && started[k] > 0)
			require.LessOrEqual(t, table.Len(), limit)
		}
	})
}

func TestBegin(t *testing.T) {
	table := NewTable[string](Config{RecordsMax: 2, Lifetime: lifetime})
	verdict, _ := table.Begin(0, key(1), 11)
	require.Equal(t, VerdictRun, verdict)
	verdict, _ = table.Begin(0, key(1), 11)
	require.Equal(t, VerdictWait, verdict)
	verdict, _ = table.Begin(0, key(1), 12)
	require.Equal(t, VerdictMismatch, verdict)
	table.Finish(0, key(1), StateAnswered, "done")
	verdict, record := table.Begin(time.Second, key(1), 11)
	require.Equal(t, VerdictReplay, verdict)
	require.Equal(t, "done", record.Answer)

	_, _ = table.Begin(0, key(2), 1)
	verdict, _ = table.Begin(0, key(3), 1)
	require.Equal(t, VerdictFull, verdict)
	require.Nil(t, table.Fence(0, key(3), 1, ""))
}

func TestRecordIsKeptLongerThanItsToken(t *testing.T) {
	table := NewTable[int](Config{RecordsMax: 2, Lifetime: lifetime})
	_, _ = table.Begin(0, key(1), 1)
	table.Finish(0, key(1), StateAnswered, 1)
	verdict, _ := table.Begin(lifetime, key(1), 1)
	require.Equal(t, VerdictReplay, verdict)
	require.Equal(t, VerdictExpired, CheckToken(lifetime, 0, lifetime))

	verdict, _ = table.Begin(2*lifetime, key(2), 1)
	require.Equal(t, VerdictRun, verdict)
	require.Equal(t, 1, table.Len())
	verdict, _ = table.Begin(4*lifetime, key(2), 1)
	require.Equal(t, VerdictWait, verdict, "a running record is not dropped")
}

func TestNewProcessRefusesCallerKeys(t *testing.T) {
	require.Equal(t, VerdictProcessTooNew, CheckCallerKey(2*lifetime-1, lifetime))
	require.Equal(t, VerdictRun, CheckCallerKey(2*lifetime, lifetime))
}

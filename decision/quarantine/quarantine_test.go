package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestHoldGrowsWithEachCrash(t *testing.T) {
	const culprit, bystander = 1, 2
	l := New()
	l.RecordCrash(0, culprit, 10, false)
	l.RecordCrash(0, bystander, 10, false)
	l.RecordCrash(0, culprit, 10, false) // the same crash twice
	require.Zero(t, l.HoldRemaining(0, culprit), "one crash proves nothing")
	l.RecordCompletion(bystander)
	l.RecordCrash(time.Second, culprit, 11, false)
	l.RecordCrash(time.Second, bystander, 11, false)
	require.Equal(t, holdMin, l.HoldRemaining(time.Second, culprit))
	require.Zero(t, l.HoldRemaining(time.Second, bystander), "it has completed since the first crash")
	require.Zero(t, l.HoldRemaining(time.Second, 3))

	at := time.Second + holdMin
	require.Equal(t, time.Duration(1), l.HoldRemaining(at-1, culprit))
	require.Zero(t, l.HoldRemaining(at, culprit), "one more attempt is allowed")
	l.Expire(at)
	l.RecordCrash(at, culprit, 12, false)
	require.Equal(t, holdGrowth*holdMin, l.HoldRemaining(at, culprit), "a further crash extends the hold")
	l.RecordCompletion(culprit)
	require.Zero(t, l.HoldRemaining(at, culprit), "completion ends the hold")
}

// TestCrashesOfFirstRunsCountAsOne guards against a content that is held back since it was in flight at
// several endpoints that crashed at the same moment.
func TestCrashesOfFirstRunsCountAsOne(t *testing.T) {
	const content = 1
	l, other := New(), New()
	l.RecordCrash(0, content, 11, true)
	other.RecordCrash(0, content, 13, true)
	require.Empty(t, l.Merge(0, other.ChangesSince(0, 0)))
	require.Equal(t, 1, l.CrashCount(content))
	require.Zero(t, l.HoldRemaining(0, content))
	l.RecordCrash(time.Second, content, 15, false)
	require.Equal(t, holdMin, l.HoldRemaining(time.Second, content), "it was sent again and crashed a further endpoint")
	require.Equal(t, []uint64{content}, other.Merge(time.Second, l.ChangesSince(time.Second, 0)))

	l = New()
	l.RecordCrash(0, content, 11, false)
	l.RecordCrash(0, content, 11, true) // another run of it at the same crash
	l.RecordCrash(0, content, 13, true)
	require.Equal(t, 1, l.CrashCount(content), "at least one run had begun before anything was known")
	l.RecordCrash(sameMoment-1, content, 15, true)
	require.Equal(t, 1, l.CrashCount(content))
	l.RecordCrash(sameMoment, content, 17, true)
	require.Equal(t, 2, l.CrashCount(content), "it has come again")
}

func TestContentsExpire(t *testing.T) {
	l := New()
	l.RecordCrash(0, 1, 10, false)
	l.RecordCrash(0, 2, 10, false)
	l.RecordCrash(0, 2, 11, false)
	require.True(t, l.Expire(retention))
	require.Zero(t, l.CrashCount(1))
	require.Equal(t, 2, l.CrashCount(2))
	require.False(t, l.Expire(2*holdMin))
}

func TestLedgerIsBounded(t *testing.T) {
	l := New()
	l.RecordCrash(0, 1, 10, false)
	l.RecordCrash(0, 1, 11, false)
	for i := range uint64(2 * contentsMax) {
		l.RecordCrash(time.Duration(i), 100+i, 12, false)
	}
	require.LessOrEqual(t, len(l.contents), contentsMax)
	require.Greater(t, len(l.contents), contentsMax/2)
	require.Positive(t, l.HoldRemaining(0, 1), "a content that is held back is evicted last")
	for i := range uint64(2 * lossesPerContentMax) {
		l.RecordCrash(time.Duration(i), 1, 20+i, false)
	}
	require.Len(t, l.contents[1], lossesPerContentMax)
	require.Equal(t, holdMax, l.contents[1].holdTime())
}

// A node that joins late receives all losses with their ages, and afterwards only the
// changes.
func TestChangesSince(t *testing.T) {
	a, b := New(), New()
	a.RecordCrash(0, 1, 10, false)
	b.Merge(time.Hour, a.ChangesSince(time.Minute, 0))
	require.Equal(t, time.Hour-time.Minute, b.contents[1].lastCrash())
	require.Empty(t, b.ChangesSince(time.Hour, 1), "only the node of the crash reports it")
	revision := a.Revision()
	a.Merge(0, []Loss{{Fingerprint: 2, CrashID: 11}})
	require.Empty(t, a.ChangesSince(0, revision))
	a.RecordCompletion(1)
	require.Equal(t, []Loss{{Fingerprint: 1, CrashID: 10, Completed: true}}, a.ChangesSince(0, revision))
	b.Merge(time.Hour, a.ChangesSince(0, revision))
	require.Zero(t, b.CrashCount(1))
}

// Ledgers that exchange all their losses converge in any order.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledgers := []*Ledger{New(), New(), New()}
		crash := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			l := ledgers[rapid.IntRange(0, 2).Draw(t, "node")]
			content := rapid.Uint64Range(1, 3).Draw(t, "content")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if crash++; crash <= lossesPerContentMax {
					l.RecordCrash(0, content, crash, rapid.Bool().Draw(t, "first"))
				}
			case 1:
				l.RecordCompletion(content)
			case 2:
				l.Merge(0, ledgers[rapid.IntRange(0, 2).Draw(t, "from")].ChangesSince(0, 0))
			}
		}
		for range ledgers {
			for _, to := range ledgers {
				for _, from := range ledgers {
					to.Merge(0, from.ChangesSince(0, 0))
				}
			}
		}
		for _, l := range ledgers[1:] {
			for content := range uint64(4) {
				require.Equal(t, ledgers[0].HoldRemaining(0, content), l.HoldRemaining(0, content))
				require.ElementsMatch(t, ledgers[0].Losses(0, content), l.Losses(0, content))
			}
		}
	})
}

// Four endpoints run 20 requests each. One request in 400 has a content that crashes
// every endpoint and is resent without end; endpoints also crash on their own. Every
// other request has its own content, and its client sends it up to three times. Nodes
// learn of crashes one second late.
func TestOneRequestDoesNotTakeDownAService(t *testing.T) {
	const (
		culprit     = 1
		requests    = 20_000
		interval    = 2 * time.Millisecond
		endpoints   = 4
		running     = 20
		reportDelay = time.Second
	)
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 0))
		nodes := make([]*Ledger, endpoints)
		type run struct {
			content uint64
			first   bool
		}
		inFlight := make([][]run, endpoints)
		for i := range nodes {
			nodes[i] = New()
		}
		type report struct {
			at   time.Duration
			from int
		}
		var pending []report
		crashes, attempts, refused := uint64(0), 0, 0
		crash := func(now time.Duration, at int) {
			crashes++
			for _, r := range inFlight[at] {
				nodes[at].RecordCrash(now, r.content, crashes, r.first)
			}
			inFlight[at] = nil
			pending = append(pending, report{now + reportDelay, at})
		}
		for i := range uint64(requests) {
			now := time.Duration(i) * interval
			for len(pending) > 0 && pending[0].at <= now {
				for _, n := range nodes {
					n.Merge(now, nodes[pending[0].from].ChangesSince(now, 0))
				}
				pending = pending[1:]
			}
			content, at := 10+i, r.IntN(endpoints)
			if i%400 == 0 {
				content = culprit
			}
			if r.IntN(2000) == 0 {
				crash(now, at)
			}
			if nodes[at].HoldRemaining(now, content) > 0 {
				if content != culprit {
					refused++
				}
				continue
			}
			inFlight[at] = append(inFlight[at], run{content, nodes[at].CrashCount(content) == 0})
			if len(inFlight[at]) > running {
				nodes[at].RecordCompletion(inFlight[at][0].content)
				inFlight[at] = inFlight[at][1:]
			}
			if content == culprit {
				crash(now, at)
				attempts++
			}
		}
		require.LessOrEqual(t, attempts, 3, "seed %d: no attempt is made after the third crash", seed)
		require.Zero(t, refused, "seed %d: refused requests that caused no crash", seed)
	}
}

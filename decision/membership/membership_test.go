package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawEvidence(t *rapid.T) Evidence {
	ages := []time.Duration{0, time.Second, AnswerValidity, time.Minute, ListLag, Never}
	age := func(label string) time.Duration { return rapid.SampledFrom(ages).Draw(t, label) }
	return Evidence{
		Listing:        Listing(rapid.IntRange(0, 2).Draw(t, "listing")),
		Linked:         rapid.Bool().Draw(t, "linked"),
		Status:         Status(rapid.IntRange(0, 3).Draw(t, "status")),
		StatusAge:      age("status age"),
		AnsweredAge:    age("answered"),
		UnreachableAge: age("unreachable"),
	}
}

func TestAnsweringVMIsNeverGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvidence(t)
		if e.Linked || e.AnsweredAge < AnswerValidity && e.AnsweredAge < e.UnreachableAge {
			require.NotEqual(t, Gone, Decide(e).State)
		}
	})
}

func TestUnreachableListedVMIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEvidence(t)
		if e.Listing == Unlisted || e.Status == StatusStopped {
			return
		}
		e.AnsweredAge = Never
		failed, reachable := e, e
		failed.UnreachableAge, reachable.UnreachableAge = 0, Never
		require.Equal(t, Decide(reachable), Decide(failed))
	})
}

func TestDecide(t *testing.T) {
	none := Evidence{StatusAge: Never, AnsweredAge: Never, UnreachableAge: Never}
	cases := []struct {
		desc   string
		change func(*Evidence)
		want   State
	}{
		{"nothing known", func(*Evidence) {}, Gone},
		{"listed", func(e *Evidence) { e.Listing = ListedLive }, Live},
		{"listed as leaving", func(e *Evidence) { e.Listing = ListedLeaving }, Leaving},
		{"reported leaving, list lags", func(e *Evidence) { e.Listing, e.Status, e.StatusAge = ListedLive, StatusLeaving, 0 }, Leaving},
		{"reported stopping, list lags", func(e *Evidence) { e.Listing, e.Status, e.StatusAge = ListedLive, StatusStopped, time.Second }, Gone},
		{"reported stopping long ago, listed again", func(e *Evidence) { e.Listing, e.Status, e.StatusAge = ListedLive, StatusStopped, ListLag }, Live},
		{"new, not listed yet", func(e *Evidence) { e.Status, e.StatusAge = StatusLive, time.Second }, Live},
		{"new, not listed for long", func(e *Evidence) { e.Status, e.StatusAge = StatusLive, ListLag }, Gone},
		{"not listed and unreachable", func(e *Evidence) { e.Status, e.StatusAge, e.UnreachableAge = StatusLive, 0, 0 }, Gone},
		{"answers after it reported leaving", func(e *Evidence) { e.Listing, e.Status, e.AnsweredAge = ListedLive, StatusLeaving, 0 }, Leaving},
		{"removed from the list but linked", func(e *Evidence) { e.Linked = true }, Live},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			e := none
			c.change(&e)
			require.Equal(t, c.want, Decide(e).State)
		})
	}
}

// Nodes converge on the same claim in whatever order claims arrive.
func TestClaimsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{
				Stamp:       rapid.Uint64Range(0, 3).Draw(t, "stamp"),
				Status:      Status(rapid.IntRange(1, 3).Draw(t, "status")),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			}
		}), 1, 8).Draw(t, "claims")
		merge := func(order []Claim) Claim {
			best := order[0]
			for _, c := range order[1:] {
				if c.Supersedes(best) {
					best = c
				}
			}
			return best
		}
		require.Equal(t, merge(claims), merge(rapid.Permutation(claims).Draw(t, "other order")))
	})
}

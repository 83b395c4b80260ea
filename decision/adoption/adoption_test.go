package adoption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func drawVersion(t *rapid.T, label string) Version {
	v := Version{Revision: rapid.Uint64Range(0, 4).Draw(t, label+" revision")}
	v.Hash[0] = byte(rapid.IntRange(0, 2).Draw(t, label+" hash"))
	return v
}

// A node that adopts only what Decide allows never returns to an earlier revision and
// never changes the content of a revision.
func TestAdoptedRevisionsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := Version{}
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			offered := drawVersion(t, "offered")
			verdict := Decide(current, offered)
			require.Equal(t, verdict == Adopt, offered.Revision > current.Revision)
			require.Equal(t, verdict == Same, offered == current)
			if verdict == Adopt {
				current = offered
			}
		}
	})
}

func TestDecideGate(t *testing.T) {
	full := StartState{Waited: time.Millisecond, PlatformAnswered: true, PeersKnown: 10, PeersAnswered: PeersRequired, HasCandidate: true}
	cases := []struct {
		desc   string
		change func(*StartState)
		want   GateDecision
	}{
		{"platform and peers answered", func(*StartState) {}, GateConfirmed},
		{"no candidate", func(s *StartState) { s.HasCandidate, s.Waited = false, time.Hour }, GateWait},
		{"no VM list yet", func(s *StartState) { s.PeersKnown = -1 }, GateWait},
		{"no other VM", func(s *StartState) { s.PeersKnown, s.PeersAnswered = 0, 0 }, GateConfirmed},
		{"one other VM, not answered yet", func(s *StartState) { s.PeersKnown, s.PeersAnswered = 1, 0 }, GateWait},
		{"no peer answers, timeout", func(s *StartState) { s.PeersAnswered, s.Waited = 0, StartTimeout }, GateWithoutPeers},
		{"platform does not answer", func(s *StartState) { s.PlatformAnswered = false }, GateWait},
		{"platform does not answer, timeout", func(s *StartState) { s.PlatformAnswered, s.Waited = false, StartTimeout }, GateWithoutPlatform},
		{"a peer announced a newer version", func(s *StartState) { s.NewerPending = true }, GateWait},
		{"the newer version is still pending", func(s *StartState) { s.NewerPending, s.Waited = true, StartTimeout }, GateWait},
		{"the newer version is not received in time", func(s *StartState) { s.NewerPending, s.Waited = true, PullTimeout }, GateConfirmed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := full
			c.change(&s)
			require.Equal(t, c.want, DecideGate(s))
		})
	}
}

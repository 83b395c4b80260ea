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

// A node that adopts what Judge allows never goes back, and never changes the
// content of a revision.
func TestAdoptedVersionsOnlyRise(t *testing.T) {
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

func TestOpen(t *testing.T) {
	full := StartState{Waited: time.Millisecond, PlatformAnswered: true, PeersKnown: 10, PeersAnswered: PeersRequired, HasCandidate: true}
	cases := []struct {
		desc   string
		change func(*StartState)
		want   GateDecision
	}{
		{"platform and peers answered", func(*StartState) {}, GateConfirmed},
		{"nothing to take", func(k *StartState) { k.HasCandidate, k.Waited = false, time.Hour }, GateWait},
		{"no list yet", func(k *StartState) { k.PeersKnown = -1 }, GateWait},
		{"no other VM", func(k *StartState) { k.PeersKnown, k.PeersAnswered = 0, 0 }, GateConfirmed},
		{"one other VM, not asked yet", func(k *StartState) { k.PeersKnown, k.PeersAnswered = 1, 0 }, GateWait},
		{"no peer answers, wait over", func(k *StartState) { k.PeersAnswered, k.Waited = 0, StartTimeout }, GateWithoutPeers},
		{"platform silent", func(k *StartState) { k.PlatformAnswered = false }, GateWait},
		{"platform silent, wait over", func(k *StartState) { k.PlatformAnswered, k.Waited = false, StartTimeout }, GateWithoutPlatform},
		{"a peer named a newer one", func(k *StartState) { k.NewerPending = true }, GateWait},
		{"the newer one is still not there", func(k *StartState) { k.NewerPending, k.Waited = true, StartTimeout }, GateWait},
		{"the newer one never came", func(k *StartState) { k.NewerPending, k.Waited = true, PullTimeout }, GateConfirmed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			k := full
			c.change(&k)
			require.Equal(t, c.want, DecideGate(k))
		})
	}
}

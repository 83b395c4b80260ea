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
			verdict := Judge(current, offered)
			require.Equal(t, verdict == Adopt, offered.Revision > current.Revision)
			require.Equal(t, verdict == Same, offered == current)
			if verdict == Adopt {
				current = offered
			}
		}
	})
}

func TestOpen(t *testing.T) {
	full := Knowledge{Waited: time.Millisecond, PlatformAnswered: true, PeersKnown: 10, PeersAnswered: PeersAsked, Candidate: true}
	cases := []struct {
		desc   string
		change func(*Knowledge)
		want   Opening
	}{
		{"platform and peers answered", func(*Knowledge) {}, OpeningConfirmed},
		{"nothing to take", func(k *Knowledge) { k.Candidate, k.Waited = false, time.Hour }, OpeningWait},
		{"no list yet", func(k *Knowledge) { k.PeersKnown = -1 }, OpeningWait},
		{"no other VM", func(k *Knowledge) { k.PeersKnown, k.PeersAnswered = 0, 0 }, OpeningConfirmed},
		{"one other VM, not asked yet", func(k *Knowledge) { k.PeersKnown, k.PeersAnswered = 1, 0 }, OpeningWait},
		{"no peer answers, wait over", func(k *Knowledge) { k.PeersAnswered, k.Waited = 0, StartWait }, OpeningWithoutPeers},
		{"platform silent", func(k *Knowledge) { k.PlatformAnswered = false }, OpeningWait},
		{"platform silent, wait over", func(k *Knowledge) { k.PlatformAnswered, k.Waited = false, StartWait }, OpeningWithoutPlatform},
		{"a peer named a newer one", func(k *Knowledge) { k.NewerNamed = true }, OpeningWait},
		{"the newer one is still not there", func(k *Knowledge) { k.NewerNamed, k.Waited = true, StartWait }, OpeningWait},
		{"the newer one never came", func(k *Knowledge) { k.NewerNamed, k.Waited = true, PullWait }, OpeningConfirmed},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			k := full
			c.change(&k)
			require.Equal(t, c.want, Open(k))
		})
	}
}

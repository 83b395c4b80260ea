package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/adoption"
)

// TestRefusalBeforeTheFirstCatalogueIsKept guards against a node whose status names no refused state although the platform
// holds other content under the revision in force: the refusal was forgotten if it came before the first catalogue was in force.
func TestRefusalBeforeTheFirstCatalogueIsKept(t *testing.T) {
	offers := func() (platform, peer *offer) {
		return decodeOffer(keyCatalogue, 3, catalogueWith(7), basisOf(document{}), sourcePlatform),
			decodeOffer(keyCatalogue, 3, catalogueWith(1), basisOf(document{}), "vm-0-1")
	}
	tests := []struct {
		desc   string
		arrive func(a *adoptionController, platform, peer *offer)
	}{
		{"the platform answers first", func(a *adoptionController, platform, peer *offer) {
			a.evaluate(platform)
			a.evaluate(peer)
			a.adopt(a.candidate)
		}},
		{"a peer answers first", func(a *adoptionController, platform, peer *offer) {
			a.evaluate(peer)
			a.evaluate(platform)
			a.adopt(a.candidate)
		}},
		{"the platform answers when a catalogue is in force", func(a *adoptionController, platform, peer *offer) {
			a.evaluate(peer)
			a.adopt(a.candidate)
			a.candidate = nil
			a.evaluate(platform)
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			a := newPlannedNode(t).adoption
			platform, peer := offers()
			require.Equal(t, adoption.Conflict, adoption.Decide(peer.version, platform.version))
			test.arrive(a, platform, peer)
			inForce := a.board.documents.Get().byKey[keyCatalogue]
			require.Equal(t, peer.version, inForce.version)
			require.NotNil(t, inForce.lastRefusal)
			require.Equal(t, platform.version, inForce.lastRefusal.version)
			require.Contains(t, inForce.lastRefusal.reason, "conflict")
		})
	}
}

// TestRefusalIsForgottenWithANewerState checks that a state which is in force, or older, is not named as refused.
func TestRefusalIsForgottenWithANewerState(t *testing.T) {
	for _, revision := range []uint64{3, 4} {
		a := newPlannedNode(t).adoption
		refused := decodeOffer(keyCatalogue, 3, catalogueWith(7), basisOf(document{}), sourcePlatform)
		a.refuse(refused, "conflict")
		a.adopt(decodeOffer(keyCatalogue, revision, catalogueWith(7), basisOf(document{}), sourcePlatform))
		require.Nil(t, a.board.documents.Get().byKey[keyCatalogue].lastRefusal, "revision %d", revision)
	}
}

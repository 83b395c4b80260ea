package proxy

import (
	"time"

	"github.com/galenacart/galenacart/decision/reach"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// probePause is the time between two probes of the links to a zone that seems cut
// off. They are few bytes, and its return is seen within this time where
// connections have outlived the cut.
const probePause = 200 * time.Millisecond

// way is the link to a node with the availability zone in which it stands.
type way struct {
	*calllink.Link
	zone string
}

// zoneWays is what is known of the links to one availability zone.
type zoneWays struct {
	reach  reach.Detector
	told   []reach.Link // of this look
	cut    bool
	probed time.Duration
}

// doubtful reports whether a call is better sent elsewhere than to the node of an
// endpoint.
func (t *targets) doubtful(m *fleetview.Member) bool {
	if z := t.zones[m.AvailabilityZone]; z != nil && z.cut {
		return true
	}
	l := t.links[m.PeerAddress]
	return l != nil && l.Unresponsive()
}

// watchZones looks which other zones are cut off, and probes the links to those.
func (t *targets) watchZones() {
	for _, z := range t.zones {
		z.told = z.told[:0]
	}
	for _, l := range t.links {
		if told, ok := l.Status(); ok && l.zone != t.zone {
			z := t.zoneWays(l.zone)
			z.told = append(z.told, told)
		}
	}
	for name, z := range t.zones {
		z.cut = z.reach.Update(z.told)
		if z.cut && t.now()-z.probed >= probePause {
			z.probed = t.now()
			t.probe(name)
		}
	}
}

func (t *targets) zoneWays(name string) *zoneWays {
	z := t.zones[name]
	if z == nil {
		z = &zoneWays{}
		t.zones[name] = z
	}
	return z
}

// probe asks every node of a zone with an open link for a sign of life.
func (t *targets) probe(zone string) {
	for _, l := range t.links {
		if l.zone == zone {
			l.Probe()
		}
	}
}

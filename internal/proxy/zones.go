package proxy

import (
	"time"

	"github.com/galenacart/galenacart/decision/reach"
	"github.com/galenacart/galenacart/internal/calllink"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// probeInterval is the interval between two probes of the links to an unreachable zone. A
// probe is a few bytes; where connections survive the partition, the zone's recovery is
// detected within this time.
const probeInterval = 200 * time.Millisecond

// zoneLink is the link to a node and the node's availability zone.
type zoneLink struct {
	*calllink.Link
	zone string
}

// zoneLinks is the state of the links to one availability zone.
type zoneLinks struct {
	reach       reach.Detector
	status      []reach.Link // of the current check
	unreachable bool
	probedAt    time.Duration
}

// isUnresponsive reports whether a call should rather go to another endpoint, because the link
// or the whole zone seems unreachable.
func (t *targets) isUnresponsive(m *fleetview.Member) bool {
	if z := t.zones[m.AvailabilityZone]; z != nil && z.unreachable {
		return true
	}
	l := t.links[m.PeerAddress]
	return l != nil && l.Unresponsive()
}

// checkZones detects which other zones are unreachable and probes the links to them.
func (t *targets) checkZones() {
	for _, z := range t.zones {
		z.status = z.status[:0]
	}
	for _, l := range t.links {
		if status, ok := l.Status(); ok && l.zone != t.zone {
			z := t.zoneLinks(l.zone)
			z.status = append(z.status, status)
		}
	}
	for name, z := range t.zones {
		z.unreachable = z.reach.Update(z.status)
		if z.unreachable && t.now()-z.probedAt >= probeInterval {
			z.probedAt = t.now()
			t.probeZone(name)
		}
	}
}

func (t *targets) zoneLinks(name string) *zoneLinks {
	z := t.zones[name]
	if z == nil {
		z = &zoneLinks{}
		t.zones[name] = z
	}
	return z
}

// probeZone sends a probe over every link to a zone.
func (t *targets) probeZone(zone string) {
	for _, l := range t.links {
		if l.zone == zone {
			l.Probe()
		}
	}
}

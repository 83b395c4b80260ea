package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/decision/readers"
)

const (
	// linksInZone is the number of links that a node dials in its own zone.
	linksInZone = 4
	// linksElsewhere is the number of other zones to which a node dials one link each.
	linksElsewhere = 3

	// targetUpdateGap is the shortest time between two updates of the targets. Each
	// update goes through the whole fleet.
	targetUpdateGap = 200 * time.Millisecond

	dialBackoffStart = 100 * time.Millisecond
	dialBackoffMax   = 600 * time.Millisecond
)

// dialState is the state of the dial attempts to one VM.
type dialState struct {
	address  string
	busy     bool
	failures int
	next     time.Duration
}

func dialBackoff(failures int, random float64) time.Duration {
	pause := min(dialBackoffStart<<min(failures, 4), dialBackoffMax)
	return pause/2 + time.Duration(random*float64(pause)/2)
}

// updateTargets chooses the targets again if VMs were added, removed or moved.
// Changes within targetUpdateGap share one update.
func (p *peerController) updateTargets() {
	placement := p.board.members.Get().placement
	if p.placement == placement || len(p.dials) > 0 && p.now-p.chosenAt < targetUpdateGap {
		return
	}
	p.placement, p.chosenAt = placement, p.now
	p.chooseTargets()
}

// chooseTargets selects the VMs to which this node dials links: some of its zone
// and one in each of some other zones. It ranks them by a hash of both names, so
// that the choice is stable and evenly distributed over the fleet.
func (p *peerController) chooseTargets() {
	zones := make(map[string][]string)
	for vm, m := range p.board.members.Get().byVM {
		if !m.own && m.decision.State != membership.Gone {
			zones[m.identity.AvailabilityZone] = append(zones[m.identity.AvailabilityZone], vm)
		}
	}
	own := p.Settings.AvailabilityZone
	chosen := p.topRanked(zones[own], linksInZone)
	var others []string
	for zone := range zones {
		if zone != own {
			others = append(others, zone)
		}
	}
	for _, zone := range p.topRanked(others, linksElsewhere) {
		chosen = append(chosen, p.topRanked(zones[zone], 1)...)
	}
	p.setTargets(chosen)
}

// topRanked returns the n names that rank highest by their hash with this node's.
func (p *peerController) topRanked(names []string, n int) []string {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	var top []string
	for _, i := range readers.Top(hashes, xxhash.Sum64String(p.Settings.VM), n) {
		top = append(top, names[i])
	}
	return top
}

func (p *peerController) setTargets(chosen []string) {
	wanted := make(map[string]bool, len(chosen))
	for _, vm := range chosen {
		wanted[vm] = true
		if p.dials[vm] == nil {
			p.dials[vm] = &dialState{}
		}
		p.dials[vm].address = p.board.members.Get().byVM[vm].identity.PeerAddress
	}
	for vm, d := range p.dials {
		if !wanted[vm] && !d.busy {
			delete(p.dials, vm)
		}
	}
}

// startDials starts the dials that are due.
func (p *peerController) startDials() {
	for vm, d := range p.dials {
		if d.busy || p.now < d.next || p.links[vm] != nil {
			continue
		}
		d.busy = true
		address := d.address
		p.goTracked(func() {
			l, err := p.transport.Dial(p.ctx, vm, address)
			if err != nil {
				p.post(linkFailed{vm: vm, cause: err})
				return
			}
			p.serve(l)
		})
	}
}

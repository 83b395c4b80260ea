package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/decision/readers"
)

const (
	// linksInZone is the number of links that a node makes in its own zone.
	linksInZone = 4
	// linksElsewhere is the number of other zones to which a node makes a link.
	linksElsewhere = 3

	// chooseGap is the shortest time between two choices of the targets.
	chooseGap = 200 * time.Millisecond

	dialBackoffStart = 100 * time.Millisecond
	dialBackoffMax   = 600 * time.Millisecond
)

// dial is the state of the attempts to link with one VM.
type dial struct {
	address  string
	busy     bool
	failures int
	next     time.Duration
}

func dialBackoff(failures int, random float64) time.Duration {
	pause := min(dialBackoffStart<<min(failures, 4), dialBackoffMax)
	return pause/2 + time.Duration(random*float64(pause)/2)
}

// updateTargets chooses the targets anew when VMs came or went. Of many that do
// so together it makes few choices, as each looks at the whole fleet.
func (p *peerController) updateTargets() {
	placement := p.board.members.Get().placement
	if p.placement == placement || len(p.dials) > 0 && p.now-p.chosenAt < chooseGap {
		return
	}
	p.placement, p.chosenAt = placement, p.now
	p.chooseTargets()
}

// chooseTargets picks the VMs with which this node makes links: some of its zone
// and one in each of some other zones. The choice follows a hash of both names,
// so that it is stable and spread evenly over the fleet.
func (p *peerController) chooseTargets() {
	zones := make(map[string][]string)
	for vm, m := range p.board.members.Get().byVM {
		if !m.own && m.finding.State != membership.Gone {
			zones[m.identity.AvailabilityZone] = append(zones[m.identity.AvailabilityZone], vm)
		}
	}
	own := p.Settings.AvailabilityZone
	chosen := p.topOf(zones[own], linksInZone)
	var others []string
	for zone := range zones {
		if zone != own {
			others = append(others, zone)
		}
	}
	for _, zone := range p.topOf(others, linksElsewhere) {
		chosen = append(chosen, p.topOf(zones[zone], 1)...)
	}
	p.setTargets(chosen)
}

// topOf returns the n names that this node's hash ranks the highest.
func (p *peerController) topOf(names []string, n int) []string {
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
			p.dials[vm] = &dial{}
		}
		p.dials[vm].address = p.board.members.Get().byVM[vm].identity.PeerAddress
	}
	for vm, d := range p.dials {
		if !wanted[vm] && !d.busy {
			delete(p.dials, vm)
		}
	}
}

// dialDue starts the dials whose time has come.
func (p *peerController) dialDue() {
	for vm, d := range p.dials {
		if d.busy || p.now < d.next || p.links[vm] != nil {
			continue
		}
		d.busy = true
		address := d.address
		p.goDo(func() {
			l, err := p.node.Dial(p.ctx, vm, address)
			if err != nil {
				p.post(linkRefused{vm: vm, cause: err})
				return
			}
			p.serve(l)
		})
	}
}

package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/fleetview"
)

// publishInterval is the shortest time between two views. A view that says that
// the node is leaving is published immediately.
const publishInterval = 20 * time.Millisecond

// publisher builds and publishes the views that traffic reads.
type publisher struct {
	*thread
	versions          [4]uint64 // versions of the entries, and the members' generation, in the last view
	publishedAt       time.Duration
	first             bool
	byVM              map[string]*fleetview.Member
	byService         map[string][]*fleetview.Member
	membersGeneration uint64 // the generation of the members that byVM reflects
}

func newPublisher(t *thread) *publisher {
	return &publisher{thread: t, first: true}
}

// run publishes a view if its content changed.
func (p *publisher) run() {
	versions := [4]uint64{
		p.board.documents.Version(), p.board.members.Get().generation,
		p.board.suspects.Version(), p.board.process.Version(),
	}
	if versions == p.versions {
		return
	}
	leaves := versions[3] != p.versions[3]
	if !p.first && !leaves && p.now-p.publishedAt < publishInterval {
		return // the next tick publishes
	}
	p.first, p.versions, p.publishedAt = false, versions, p.now
	p.updateMembers()
	catalogue := p.board.documents.Get().byKey[keyCatalogue]
	p.Holder.Store(&fleetview.View{
		Index:     catalogue.index,
		Revision:  catalogue.version.Revision,
		ByService: p.byService,
		ByVM:      p.byVM,
		Suspects:  p.board.suspects.Get().endpointsLost,
		Leaving:   p.board.process.Get().leaving,
	})
}

// updateMembers applies changes of members to the view.
func (p *publisher) updateMembers() {
	all := p.board.members.Get()
	changed, known := all.changedSince(p.membersGeneration)
	p.membersGeneration = all.generation
	if p.byVM == nil || !known {
		changed = slices.Collect(maps.Keys(all.byVM))
		for vm := range p.byVM {
			if all.byVM[vm] == nil {
				changed = append(changed, vm)
			}
		}
	}
	p.replaceMembers(changed)
}

// replaceMembers builds new maps with some members replaced. A published view is
// immutable; views share the lists of services that did not change.
func (p *publisher) replaceMembers(changed []string) {
	services := make(map[string]bool) // whose lists change
	byVM := p.byVM
	for _, vm := range changed {
		old, one := byVM[vm], p.memberView(vm)
		if old == one {
			continue
		}
		if len(services) == 0 {
			byVM = maps.Clone(p.byVM)
		}
		if byVM == nil {
			byVM = make(map[string]*fleetview.Member, len(changed))
		}
		delete(byVM, vm)
		if old != nil {
			services[old.Service] = true
		}
		if one != nil {
			services[one.Service] = true
			byVM[vm] = one
		}
	}
	if len(services) == 0 {
		return
	}
	p.byService = replaceLists(p.byService, services, changed, byVM)
	p.byVM = byVM
}

// replaceLists returns the lists with those of some services rebuilt: the changed
// VMs are removed and, as far as they are in byVM, added in their new state.
func replaceLists(lists map[string][]*fleetview.Member, services map[string]bool, changed []string, byVM map[string]*fleetview.Member) map[string][]*fleetview.Member {
	out := maps.Clone(lists)
	if out == nil {
		out = make(map[string][]*fleetview.Member, len(services))
	}
	isChanged := make(map[string]bool, len(changed))
	for _, vm := range changed {
		isChanged[vm] = true
	}
	for name := range services {
		out[name] = slices.DeleteFunc(slices.Clone(lists[name]), func(m *fleetview.Member) bool { return isChanged[m.VM] })
	}
	for vm := range isChanged {
		if m := byVM[vm]; m != nil && services[m.Service] {
			out[m.Service] = append(out[m.Service], m)
		}
	}
	for name := range services {
		if len(out[name]) == 0 {
			delete(out, name)
			continue
		}
		slices.SortFunc(out[name], func(a, b *fleetview.Member) int { return strings.Compare(a.VM, b.VM) })
	}
	return out
}

// memberView returns the member for the view, or nil if the VM is gone. It returns
// the previous pointer if the member is unchanged.
func (p *publisher) memberView(vm string) *fleetview.Member {
	m := p.board.members.Get().byVM[vm]
	if m == nil || m.decision.State == membership.Gone {
		return nil
	}
	one := fleetview.Member{
		VM:               vm,
		AvailabilityZone: m.identity.AvailabilityZone,
		Region:           m.identity.Region,
		Service:          m.identity.Service,
		PeerAddress:      m.identity.PeerAddress,
		Incarnation:      m.identity.Incarnation,
		Leaving:          m.decision.State == membership.Leaving,
	}
	if old := p.byVM[vm]; old != nil && *old == one {
		return old
	}
	return &one
}

package control

import (
	"sort"
	"time"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/view"
)

// publishGap is the shortest time between two views, except when the node
// begins to leave.
const publishGap = 20 * time.Millisecond

// publisher makes the views that traffic reads.
type publisher struct {
	*thread
	versions  [4]uint64 // of the entries, and the members' generation, in the last view
	at        time.Duration
	first     bool
	byVM      map[string]*view.Member
	byName    map[string][]*view.Member
	membersAt uint64 // generation of the members in byVM
}

func newPublisher(t *thread) *publisher {
	return &publisher{thread: t, first: true}
}

// run publishes a view when something in it changed.
func (p *publisher) run() {
	versions := [4]uint64{
		p.board.documents.Version(), p.board.members.Get().generation,
		p.board.suspects.Version(), p.board.life.Version(),
	}
	if versions == p.versions {
		return
	}
	leaves := versions[3] != p.versions[3]
	if !p.first && !leaves && p.now-p.at < publishGap {
		return // the next tick publishes
	}
	p.first, p.versions, p.at = false, versions, p.now
	p.updateMembers()
	catalogue := p.board.documents.Get().byKey[keyCatalogue]
	p.Holder.Store(&view.View{
		Index:     catalogue.index,
		Revision:  catalogue.version.Revision,
		ByService: p.byName,
		ByVM:      p.byVM,
		Suspects:  p.board.suspects.Get().lost,
		Leaving:   p.board.life.Get().leaving,
	})
}

// updateMembers makes the members of the view, if they changed.
func (p *publisher) updateMembers() {
	if p.byVM != nil && p.membersAt == p.board.members.Get().generation {
		return
	}
	p.membersAt = p.board.members.Get().generation
	all := p.board.members.Get().byVM
	byVM := make(map[string]*view.Member, len(all))
	byName := make(map[string][]*view.Member)
	for vm, m := range all {
		if m.finding.State == membership.Gone {
			continue
		}
		one := p.viewOf(vm, m)
		byVM[vm] = one
		byName[one.Service] = append(byName[one.Service], one)
	}
	for _, list := range byName {
		sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	}
	p.byVM, p.byName = byVM, byName
}

// viewOf returns the member as traffic sees it: the earlier one if it is equal.
func (p *publisher) viewOf(vm string, m *member) *view.Member {
	one := view.Member{
		VM:               vm,
		AvailabilityZone: m.identity.AvailabilityZone,
		Region:           m.identity.Region,
		Service:          m.identity.Service,
		PeerAddress:      m.identity.PeerAddress,
		Incarnation:      m.identity.Incarnation,
		Leaving:          m.finding.State == membership.Leaving,
	}
	if old := p.byVM[vm]; old != nil && *old == one {
		return old
	}
	return &one
}

package control

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/vmlist"
)

func putUint64(into []byte, value uint64) {
	binary.LittleEndian.PutUint64(into, value)
}

// run finds the states again when evidence changed, and once a sweepInterval.
func (m *membershipController) run() {
	m.readList()
	if m.peersAt != m.board.peers.Version() {
		m.peersAt = m.board.peers.Version()
		m.dirty = true
	}
	if !m.dirty && m.now-m.sweptAt < sweepInterval {
		return
	}
	m.dirty, m.sweptAt = false, m.now
	m.forget()
	m.sweep()
}

// readList takes the VM list in force.
func (m *membershipController) readList() {
	list := m.board.documents.Get().byKey[keyVMs].list
	if list == m.list {
		return
	}
	m.list = list
	clear(m.listed)
	for i := range list.VMs {
		if vm := &list.VMs[i]; vm.Name != "" {
			m.listed[vm.Name] = vm
		}
	}
	m.dirty = true
}

// forget drops what is known of VMs that are long gone.
func (m *membershipController) forget() {
	for vm, r := range m.records {
		if vm != m.Settings.VM && m.listed[vm] == nil && r.age(m.now) >= forgetAfter {
			m.drop(vm)
		}
	}
	for vm := range m.seen {
		if m.records[vm] == nil && m.listed[vm] == nil {
			delete(m.seen, vm)
		}
	}
}

// sweep finds the state of each VM and publishes the result if it changed. In
// the usual case, that nothing changed, it allocates nothing.
func (m *membershipController) sweep() {
	state := m.board.members.Get()
	found, others := 0, 0
	var next map[string]*member
	visit := func(vm string) {
		one := m.find(vm)
		found++
		if vm != m.Settings.VM && one.finding.State != membership.Gone {
			others++
		}
		old := state.byVM[vm]
		if old != nil && *old == one {
			return
		}
		changed := one // on the heap, unlike one
		m.logChange(vm, old, &changed)
		if next == nil {
			next = maps.Clone(state.byVM)
		}
		if next == nil {
			next = make(map[string]*member)
		}
		next[vm] = &changed
	}
	for vm := range m.listed {
		visit(vm)
	}
	for vm := range m.records {
		if m.listed[vm] == nil {
			visit(vm)
		}
	}
	if next == nil && found == len(state.byVM) && state.fleet == len(m.listed) {
		return
	}
	if next == nil {
		next = maps.Clone(state.byVM)
	}
	maps.DeleteFunc(next, func(vm string, _ *member) bool { return m.listed[vm] == nil && m.records[vm] == nil })
	state.byVM, state.fleet, state.others = next, len(m.listed), others
	state.generation++
	m.out.Set(state)
}

// find gathers the evidence of one VM and decides.
func (m *membershipController) find(vm string) member {
	out := member{identity: m.identity(vm)}
	if vm == m.Settings.VM {
		out.own = true
		out.finding = membership.Finding{State: membership.Live, Reason: "this node"}
		if m.records[vm].State != peer.Live {
			out.finding.State = membership.Leaving
		}
		if listed := m.listed[vm]; listed != nil && listed.State == vmlist.Leaving {
			out.finding = membership.Finding{State: membership.Leaving, Reason: "listed as leaving"}
		}
		return out
	}
	out.finding = membership.Find(m.evidence(vm))
	return out
}

func (m *membershipController) evidence(vm string) membership.Evidence {
	e := membership.Evidence{
		SaidAge:        membership.Never,
		AnsweredAge:    membership.Never,
		UnreachableAge: membership.Never,
		LeavingAge:     membership.Never,
	}
	if listed := m.listed[vm]; listed != nil {
		e.Listing = membership.ListedLive
		if listed.State == vmlist.Leaving {
			e.Listing = membership.ListedLeaving
		}
	}
	link, linked := m.board.peers.Get().linked[vm]
	e.Linked = linked && link.confirmed
	if r := m.records[vm]; r != nil && (!linked || link.identity.Incarnation == r.Incarnation) {
		e.Said = saidOf(r.State)
		e.SaidAge = r.age(m.now)
	}
	if s := m.seen[vm]; s != nil {
		e.AnsweredAge = m.since(s.answered)
		e.UnreachableAge = m.since(s.unreachable)
	}
	return e
}

func (m *membershipController) since(f fresh) time.Duration {
	if !f.known {
		return membership.Never
	}
	return m.now - f.at
}

// identity returns who a VM is: by its link, by its own word, or by the list.
func (m *membershipController) identity(vm string) peer.Identity {
	if link, linked := m.board.peers.Get().linked[vm]; linked {
		return link.identity
	}
	if r := m.records[vm]; r != nil {
		return peer.Identity{
			VM: vm, AvailabilityZone: r.AvailabilityZone, Region: r.Region, Service: r.Service,
			PeerAddress: r.PeerAddress, Incarnation: r.Incarnation,
		}
	}
	listed := m.listed[vm]
	return peer.Identity{
		VM: vm, AvailabilityZone: listed.AvailabilityZone, Region: listed.Region,
		Service: listed.Service, PeerAddress: listed.PeerAddress,
	}
}

func (m *membershipController) logChange(vm string, old, one *member) {
	if old != nil && old.finding.State == one.finding.State {
		return
	}
	from := "unknown"
	if old != nil {
		from = old.finding.State.String()
	}
	m.Log.Emit(event.MemberChanged, "", event.F("member", vm), event.F("from", from),
		event.F("to", one.finding.State.String()), event.F("evidence", one.finding.Reason))
}

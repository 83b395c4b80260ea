package control

import (
	"encoding/binary"
	"time"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/vmlist"
)

func putUint64(into []byte, value uint64) {
	binary.LittleEndian.PutUint64(into, value)
}

// run evaluates the VMs with new evidence, and once per sweepInterval those whose
// state depends on time. It skips all others, so that the work doesn't grow with
// the fleet.
func (m *membershipController) run() {
	m.updateList()
	m.updateLinks()
	if m.now-m.sweptAt >= sweepInterval {
		m.sweptAt = m.now
		m.expire()
		for vm := range m.timeDependent {
			m.markDirty(vm)
		}
	}
	if len(m.dirty) > 0 || m.board.members.Get().fleet != len(m.listed) {
		m.updateStates()
	}
}

// updateList applies the VM list in force. Unchanged entries are the same pointers
// in both lists; only the range from the first to the last changed one is read.
func (m *membershipController) updateList() {
	list := m.board.documents.Get().byKey[keyVMs].list
	if list == m.list {
		return
	}
	var before []*vmlist.VM
	if m.list != nil {
		before = m.list.VMs
	}
	m.list = list
	head, tail := commonEnds(before, list.VMs)
	m.replaceEntries(before[head:len(before)-tail], list.VMs[head:len(list.VMs)-tail])
	named := 0
	for _, vm := range list.VMs {
		if vm.Name != "" {
			named++
		}
	}
	if named != len(m.listed) { // a name occurs twice in this list or the previous one
		m.replaceEntries(before, list.VMs)
	}
}

// replaceEntries replaces entries of the previous list by those of the new one.
func (m *membershipController) replaceEntries(before, now []*vmlist.VM) {
	for _, vm := range before {
		delete(m.listed, vm.Name)
		m.markDirty(vm.Name)
	}
	for _, vm := range now {
		if vm.Name != "" {
			m.listed[vm.Name] = vm
			m.markDirty(vm.Name)
		}
	}
}

// commonEnds returns the number of entries that two lists share at the start and
// at the end.
func commonEnds(a, b []*vmlist.VM) (head, tail int) {
	shorter := min(len(a), len(b))
	for head < shorter && a[head] == b[head] {
		head++
	}
	for tail < shorter-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return head, tail
}

// updateLinks marks the VMs whose link was added, changed or removed.
func (m *membershipController) updateLinks() {
	now := m.board.peers.Get().linked
	for vm, link := range now {
		if old, had := m.links[vm]; !had || old != link {
			m.markDirty(vm)
		}
	}
	for vm := range m.links {
		if _, has := now[vm]; !has {
			m.markDirty(vm)
		}
	}
	m.links = now
}

// expire removes expired records of unlisted VMs and expired observations.
func (m *membershipController) expire() {
	for vm := range m.timeDependent {
		r := m.records[vm]
		if r != nil && vm != m.Settings.VM && m.listed[vm] == nil && r.age(m.now) >= recordLifetime {
			m.removeRecord(vm)
		}
	}
	for vm, s := range m.observations {
		if m.ageOf(s.answeredAt) >= membership.AnswerValidity && m.ageOf(s.unreachableAt) >= membership.AnswerValidity {
			delete(m.observations, vm)
			m.markDirty(vm)
		}
	}
}

// isTimeDependent reports whether the state of a VM may change without new evidence.
func (m *membershipController) isTimeDependent(vm string) bool {
	r := m.records[vm]
	return m.listed[vm] == nil || m.observations[vm] != nil || r != nil && r.State == peer.Stopped
}

// updateStates evaluates each marked VM and publishes the changes.
func (m *membershipController) updateStates() {
	state := m.board.members.Get()
	before := state.generation
	for vm := range m.dirty {
		m.updateState(&state, vm)
	}
	m.dirty = make(map[string]struct{}) // a cleared map would keep the size of the largest list
	if state.generation == before && state.fleet == len(m.listed) {
		return
	}
	state.fleet = len(m.listed)
	m.writer.Set(state)
}

// updateState evaluates one VM.
func (m *membershipController) updateState(state *members, vm string) {
	old := state.byVM[vm]
	if m.listed[vm] == nil && m.records[vm] == nil {
		delete(m.timeDependent, vm)
		if old != nil {
			state.replace(vm, nil)
		}
		return
	}
	if m.isTimeDependent(vm) {
		m.timeDependent[vm] = struct{}{}
	} else {
		delete(m.timeDependent, vm)
	}
	one := m.evaluate(vm)
	if old != nil && *old == one {
		return
	}
	changed := one // a copy, so that only changes are allocated on the heap
	m.logChange(vm, old, &changed)
	state.replace(vm, &changed)
}

// evaluate determines the state of one VM from its evidence.
func (m *membershipController) evaluate(vm string) member {
	out := member{identity: m.identity(vm)}
	if vm == m.Settings.VM {
		out.own = true
		out.decision = membership.Decision{State: membership.Live, Reason: "this node"}
		if m.records[vm].State != peer.Live {
			out.decision.State = membership.Leaving
		}
		if listed := m.listed[vm]; listed != nil && listed.State == vmlist.Leaving {
			out.decision = membership.Decision{State: membership.Leaving, Reason: "listed as leaving"}
		}
		return out
	}
	out.decision = membership.Decide(m.evidence(vm))
	return out
}

func (m *membershipController) evidence(vm string) membership.Evidence {
	e := membership.Evidence{
		StatusAge:      membership.Never,
		AnsweredAge:    membership.Never,
		UnreachableAge: membership.Never,
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
		e.Status = statusOf(r.State)
		e.StatusAge = r.age(m.now)
	}
	if s := m.observations[vm]; s != nil {
		e.AnsweredAge = m.ageOf(s.answeredAt)
		e.UnreachableAge = m.ageOf(s.unreachableAt)
	}
	return e
}

func (m *membershipController) ageOf(f optionalTime) time.Duration {
	if !f.known {
		return membership.Never
	}
	return m.now - f.at
}

// identity returns the identity of a VM from its link, its own record or the list,
// in this order.
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
	if old != nil && old.decision.State == one.decision.State {
		return
	}
	from := "unknown"
	if old != nil {
		from = old.decision.State.String()
	}
	m.Log.Emit(event.MemberChanged, "", event.F("member", vm), event.F("from", from),
		event.F("to", one.decision.State.String()), event.F("evidence", one.decision.Reason))
}

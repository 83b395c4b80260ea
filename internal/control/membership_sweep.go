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

// run finds the states again of the VMs with new evidence, and once a
// sweepInterval of those whose evidence ages. All others stay as they are, so
// that the work doesn't grow with the fleet.
func (m *membershipController) run() {
	m.readList()
	m.readLinks()
	if m.now-m.sweptAt >= sweepInterval {
		m.sweptAt = m.now
		m.forget()
		for vm := range m.timed {
			m.mark(vm)
		}
	}
	if len(m.dirty) > 0 || m.board.members.Get().fleet != len(m.listed) {
		m.update()
	}
}

// readList takes the VM list in force. Entries that both lists share are the
// same pointers; only what lies between the first and the last other is read.
func (m *membershipController) readList() {
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
	m.relist(before[head:len(before)-tail], list.VMs[head:len(list.VMs)-tail])
	named := 0
	for _, vm := range list.VMs {
		if vm.Name != "" {
			named++
		}
	}
	if named != len(m.listed) { // a name stands twice in this list or the one before
		m.relist(before, list.VMs)
	}
}

// relist replaces entries of the list by others.
func (m *membershipController) relist(before, now []*vmlist.VM) {
	for _, vm := range before {
		delete(m.listed, vm.Name)
		m.mark(vm.Name)
	}
	for _, vm := range now {
		if vm.Name != "" {
			m.listed[vm.Name] = vm
			m.mark(vm.Name)
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

// readLinks marks the VMs whose link came, changed or ended.
func (m *membershipController) readLinks() {
	now := m.board.peers.Get().linked
	for vm, link := range now {
		if old, had := m.links[vm]; !had || old != link {
			m.mark(vm)
		}
	}
	for vm := range m.links {
		if _, has := now[vm]; !has {
			m.mark(vm)
		}
	}
	m.links = now
}

// forget drops what is known of VMs that are long gone, and what traffic saw too
// long ago to count.
func (m *membershipController) forget() {
	for vm := range m.timed {
		r := m.records[vm]
		if r != nil && vm != m.Settings.VM && m.listed[vm] == nil && r.age(m.now) >= forgetAfter {
			m.drop(vm)
		}
	}
	for vm, s := range m.seen {
		if m.since(s.answered) >= membership.AnswerValidity && m.since(s.unreachable) >= membership.AnswerValidity {
			delete(m.seen, vm)
			m.mark(vm)
		}
	}
}

// ages says whether the state of a VM can change by time alone.
func (m *membershipController) ages(vm string) bool {
	r := m.records[vm]
	return m.listed[vm] == nil || m.seen[vm] != nil || r != nil && r.State == peer.Stopped
}

// update finds the state of each marked VM and publishes what changed.
func (m *membershipController) update() {
	state := m.board.members.Get()
	before := state.generation
	for vm := range m.dirty {
		m.updateOne(&state, vm)
	}
	m.dirty = make(map[string]struct{}) // one that held a whole list stays large
	if state.generation == before && state.fleet == len(m.listed) {
		return
	}
	state.fleet = len(m.listed)
	m.out.Set(state)
}

// updateOne finds the state of one VM.
func (m *membershipController) updateOne(state *members, vm string) {
	old := state.byVM[vm]
	if m.listed[vm] == nil && m.records[vm] == nil {
		delete(m.timed, vm)
		if old != nil {
			state.replace(vm, nil)
		}
		return
	}
	if m.ages(vm) {
		m.timed[vm] = struct{}{}
	} else {
		delete(m.timed, vm)
	}
	one := m.find(vm)
	if old != nil && *old == one {
		return
	}
	changed := one // on the heap, unlike one
	m.logChange(vm, old, &changed)
	state.replace(vm, &changed)
}

// find gathers the evidence of one VM and decides.
func (m *membershipController) find(vm string) member {
	out := member{identity: m.identity(vm)}
	if vm == m.Settings.VM {
		out.own = true
		out.finding = membership.Decision{State: membership.Live, Reason: "this node"}
		if m.records[vm].State != peer.Live {
			out.finding.State = membership.Leaving
		}
		if listed := m.listed[vm]; listed != nil && listed.State == vmlist.Leaving {
			out.finding = membership.Decision{State: membership.Leaving, Reason: "listed as leaving"}
		}
		return out
	}
	out.finding = membership.Decide(m.evidence(vm))
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
		e.Status = saidOf(r.State)
		e.StatusAge = r.age(m.now)
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

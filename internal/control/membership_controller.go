package control

import (
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"

	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	sweepInterval = time.Second
	// recordLifetime is the age at which the record of an unlisted VM is removed
	// and no longer accepted, so that peers don't reintroduce it.
	recordLifetime = 5 * membership.ListLag
	// maxRecords bounds the records of VMs.
	maxRecords = 20_000
	// maxPastIncarnations bounds the replaced incarnations that are kept of one VM.
	maxPastIncarnations = 4
	// refuteInterval is the shortest time between two refutations of records that
	// name this VM.
	refuteInterval = 2 * time.Second
)

// record is a node's record of itself, with the time at which it was received.
type record struct {
	peer.MemberRecord
	receivedAt time.Duration // process time at which its age was AgeMs
}

func (r *record) age(now time.Duration) time.Duration {
	age, _ := peer.Age(r.AgeMs)
	return age + now - r.receivedAt
}

func (r *record) claim() membership.Claim {
	return membership.Claim{Stamp: r.Stamp, Status: statusOf(r.State), Incarnation: r.Incarnation}
}

func statusOf(state peer.Lifecycle) membership.Status {
	return membership.StatusLive + membership.Status(state)
}

// observation holds the times at which traffic last reached a VM and last
// failed to reach it.
type observation struct {
	answeredAt, unreachableAt optionalTime
}

// membershipController determines the state of each VM.
type membershipController struct {
	*thread
	writer        *blackboard.Writer[members]
	records       map[string]*record
	listed        map[string]*vmlist.VM
	observations  map[string]*observation
	past          map[string][]uint64 // incarnations that were replaced, by VM
	list          *vmlist.Table       // the list from which listed was built
	links         map[string]linkInfo // the links at the last run
	dirty         map[string]struct{} // VMs with new evidence
	timeDependent map[string]struct{} // VMs whose state may change without new evidence
	sweptAt       time.Duration
	refutedAt     time.Duration
	reannounced   bool // the node's record was repeated after the first link
}

func newMembershipController(t *thread) *membershipController {
	m := &membershipController{
		thread:        t,
		writer:        t.board.members.Claim("membership controller"),
		records:       make(map[string]*record),
		listed:        make(map[string]*vmlist.VM),
		observations:  make(map[string]*observation),
		past:          make(map[string][]uint64),
		dirty:         make(map[string]struct{}),
		timeDependent: make(map[string]struct{}),
	}
	m.announce(peer.Live)
	return m
}

// announce stores this node's record with a new state, and queues it for the peers.
func (m *membershipController) announce(state peer.Lifecycle) {
	s := m.Settings
	m.store(&record{
		MemberRecord: peer.MemberRecord{
			VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Service: s.Service,
			PeerAddress: s.PeerAddress, Incarnation: m.Incarnation, Stamp: m.Log.Clock().Tick(), State: state,
		},
		receivedAt: m.now,
	}, s.VM)
}

// reannounce repeats the node's own record once the first link has provided the
// logical time of the fleet. Only then is its stamp certain to exceed that of the
// record of the previous process on this VM.
func (m *membershipController) reannounce() {
	if m.reannounced {
		return
	}
	m.reannounced = true
	m.announce(m.records[m.Settings.VM].State)
}

// conflictingRecord returns the record of a linked VM if it names another
// incarnation or a state other than live, else nil.
func (m *membershipController) conflictingRecord(remote peer.Identity) *record {
	r := m.records[remote.VM]
	if r == nil || r.Incarnation == remote.Incarnation && r.State == peer.Live {
		return nil
	}
	return r
}

func (m *membershipController) announceLeaving() { m.announce(peer.Leaving) }
func (m *membershipController) announceStop()    { m.announce(peer.Stopped) }

// store replaces the record of a VM and queues it for the peers.
func (m *membershipController) store(r *record, from string) {
	m.internStrings(r)
	state := m.board.members.Get()
	if old := m.records[r.VM]; old != nil {
		state.digests[bucketOf(r.VM)] ^= digestOf(&old.MemberRecord)
		if old.Incarnation != r.Incarnation {
			m.addPastIncarnation(r.VM, old.Incarnation)
		}
	}
	state.digests[bucketOf(r.VM)] ^= digestOf(&r.MemberRecord)
	state.memberUpdates = append(state.memberUpdates, memberUpdate{record: r.MemberRecord, from: from})
	m.records[r.VM] = r
	m.writer.Set(state)
	m.markDirty(r.VM)
}

// markDirty schedules the VM for a new evaluation of its state.
func (m *membershipController) markDirty(vm string) {
	m.dirty[vm] = struct{}{}
}

// internStrings shares the strings that a record has in common with the list and
// with other records.
func (m *membershipController) internStrings(r *record) {
	if listed := m.listed[r.VM]; listed != nil {
		r.VM = listed.Name
		if r.PeerAddress == listed.PeerAddress {
			r.PeerAddress = listed.PeerAddress
		}
	}
	for _, name := range []*string{&r.AvailabilityZone, &r.Region, &r.Service} {
		*name = unique.Make(*name).Value()
	}
}

// clearUpdates removes the records that were handed on in the last run.
func (m *membershipController) clearUpdates() {
	if state := m.board.members.Get(); len(state.memberUpdates) > 0 {
		state.memberUpdates = nil
		m.writer.Set(state)
	}
}

// removeRecord removes the record of a VM.
func (m *membershipController) removeRecord(vm string) {
	state := m.board.members.Get()
	state.digests[bucketOf(vm)] ^= digestOf(&m.records[vm].MemberRecord)
	delete(m.records, vm)
	delete(m.past, vm)
	m.writer.Set(state)
	m.markDirty(vm)
}

// mergeRecords merges records that a peer sent.
func (m *membershipController) mergeRecords(list []peer.MemberRecord, from string) {
	for i := range list {
		m.mergeRecord(&record{MemberRecord: list[i], receivedAt: m.now}, from)
	}
}

func (m *membershipController) mergeRecord(r *record, from string) {
	if r.VM == m.Settings.VM {
		m.refute(r)
		return
	}
	old := m.records[r.VM]
	switch {
	case old != nil && r.claim() == old.claim():
		m.gossip.excludeReceiver(r.VM, from)
	case old != nil && !r.claim().Supersedes(old.claim()):
	case m.listed[r.VM] == nil && r.age(m.now) >= recordLifetime:
	case old == nil && len(m.records) >= maxRecords:
	default:
		m.store(r, from)
	}
}

// refute answers a newer record of this VM from another source with a newer one
// of this node.
func (m *membershipController) refute(r *record) {
	own := m.records[r.VM]
	if !r.claim().Supersedes(own.claim()) {
		return
	}
	m.Log.Clock().Observe(r.Stamp)
	if m.refutedAt != 0 && m.now-m.refutedAt < refuteInterval {
		return
	}
	m.refutedAt = m.now
	if r.Incarnation != m.Incarnation {
		m.Log.Emit(event.IncarnationConflict, "", event.F("other", r.Incarnation), event.F("own", m.Incarnation))
	}
	m.announce(own.State)
}

// isPastIncarnation reports whether an incarnation of a VM was replaced by another
// or has announced its stop.
func (m *membershipController) isPastIncarnation(vm string, incarnation uint64) bool {
	for _, past := range m.past[vm] {
		if past == incarnation {
			return true
		}
	}
	r := m.records[vm]
	return r != nil && r.Incarnation == incarnation && r.State == peer.Stopped
}

// addPastIncarnation adds a replaced incarnation, and keeps the last ones.
func (m *membershipController) addPastIncarnation(vm string, incarnation uint64) {
	past := append(m.past[vm], incarnation)
	m.past[vm] = past[max(0, len(past)-maxPastIncarnations):]
}

// observe records a report of traffic.
func (m *membershipController) observe(r fleetview.Report) {
	if m.records[r.VM] == nil && m.listed[r.VM] == nil {
		return
	}
	s := m.observations[r.VM]
	if s == nil {
		s = &observation{}
		m.observations[r.VM] = s
	}
	at := optionalTime{known: true, at: m.now}
	switch r.Kind {
	case fleetview.ReportPeerUnreachable:
		s.unreachableAt = at
	case fleetview.ReportPeerReachable:
		s.answeredAt = at
	}
	m.markDirty(r.VM)
}

func bucketOf(vm string) int {
	return int(xxhash.Sum64String(vm) % peer.DigestBuckets)
}

// digestOf hashes the fields that identify a version of a record.
func digestOf(r *peer.MemberRecord) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.VM)
	var tail [17]byte
	putUint64(tail[0:], r.Incarnation)
	putUint64(tail[8:], r.Stamp)
	tail[16] = byte(r.State)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

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
	// forgetAfter is the age at which the record of an unlisted VM is dropped
	// and no longer accepted, so that it can't come back.
	forgetAfter = 5 * membership.ListLag
	// maxRecords bounds the records of VMs.
	maxRecords = 20_000
	// maxPast bounds the replaced incarnations remembered of one VM.
	maxPast = 4
	// refuteInterval is the shortest time between two answers to a record that
	// claims this VM for another process.
	refuteInterval = 2 * time.Second
)

// record is what a node said of itself, with the time at which it was heard.
type record struct {
	peer.MemberRecord
	heard time.Duration // process time at which its age was AgeMs
}

func (r *record) age(now time.Duration) time.Duration {
	age, _ := peer.Age(r.AgeMs)
	return age + now - r.heard
}

func (r *record) claim() membership.Claim {
	return membership.Claim{Stamp: r.Stamp, Status: saidOf(r.State), Incarnation: r.Incarnation}
}

func saidOf(state peer.Lifecycle) membership.Status {
	return membership.StatusLive + membership.Status(state)
}

// seen holds the times at which traffic saw a VM.
type seen struct {
	answered, unreachable fresh
}

// membershipController finds the state of each VM.
type membershipController struct {
	*thread
	out       *blackboard.Writer[members]
	records   map[string]*record
	listed    map[string]*vmlist.VM
	seen      map[string]*seen
	past      map[string][]uint64 // incarnations that were replaced, by VM
	list      *vmlist.Table       // the list behind listed
	links     map[string]linkFact // the links behind the states found
	dirty     map[string]struct{} // VMs with new evidence
	timed     map[string]struct{} // VMs whose state can change by time alone
	sweptAt   time.Duration
	refutedAt time.Duration
	spoke     bool // the node spoke after it heard the logical time of a peer
}

func newMembershipController(t *thread) *membershipController {
	m := &membershipController{
		thread:  t,
		out:     t.board.members.Claim("membership controller"),
		records: make(map[string]*record),
		listed:  make(map[string]*vmlist.VM),
		seen:    make(map[string]*seen),
		past:    make(map[string][]uint64),
		dirty:   make(map[string]struct{}),
		timed:   make(map[string]struct{}),
	}
	m.announce(peer.Live)
	return m
}

// announce records what this node says of itself, and passes it on.
func (m *membershipController) announce(state peer.Lifecycle) {
	s := m.Settings
	m.put(&record{
		MemberRecord: peer.MemberRecord{
			VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Service: s.Service,
			PeerAddress: s.PeerAddress, Incarnation: m.Incarnation, Stamp: m.Log.Clock().Tick(), State: state,
		},
		heard: m.now,
	}, s.VM)
}

// speak repeats the node's own record when the first link has told the logical
// time of the fleet: the record of the process before on this VM has to give way.
func (m *membershipController) speak() {
	if m.spoke {
		return
	}
	m.spoke = true
	m.announce(m.records[m.Settings.VM].State)
}

// contradicts returns the record of a linked VM that is not what its node would
// say, or nil.
func (m *membershipController) contradicts(remote peer.Identity) *record {
	r := m.records[remote.VM]
	if r == nil || r.Incarnation == remote.Incarnation && r.State == peer.Live {
		return nil
	}
	return r
}

func (m *membershipController) announceLeaving() { m.announce(peer.Leaving) }
func (m *membershipController) announceStop()    { m.announce(peer.Stopped) }

// put takes a record in and queues it to be passed on.
func (m *membershipController) put(r *record, from string) {
	m.shareNames(r)
	state := m.board.members.Get()
	if old := m.records[r.VM]; old != nil {
		state.digests[bucketOf(r.VM)] ^= digestOf(&old.MemberRecord)
		if old.Incarnation != r.Incarnation {
			m.retire(r.VM, old.Incarnation)
		}
	}
	state.digests[bucketOf(r.VM)] ^= digestOf(&r.MemberRecord)
	state.news = append(state.news, news{record: r.MemberRecord, from: from})
	m.records[r.VM] = r
	m.out.Set(state)
	m.mark(r.VM)
}

// mark has the state of a VM found again.
func (m *membershipController) mark(vm string) {
	m.dirty[vm] = struct{}{}
}

// shareNames keeps one copy of the text that a record has in common with the list
// and with other records.
func (m *membershipController) shareNames(r *record) {
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

// clearNews ends the round in which records were passed on.
func (m *membershipController) clearNews() {
	if state := m.board.members.Get(); len(state.news) > 0 {
		state.news = nil
		m.out.Set(state)
	}
}

// drop forgets the record of a VM.
func (m *membershipController) drop(vm string) {
	state := m.board.members.Get()
	state.digests[bucketOf(vm)] ^= digestOf(&m.records[vm].MemberRecord)
	delete(m.records, vm)
	delete(m.past, vm)
	m.out.Set(state)
	m.mark(vm)
}

// learn takes records that a peer told.
func (m *membershipController) learn(list []peer.MemberRecord, from string) {
	for i := range list {
		m.learnOne(&record{MemberRecord: list[i], heard: m.now}, from)
	}
}

func (m *membershipController) learnOne(r *record, from string) {
	if r.VM == m.Settings.VM {
		m.refute(r)
		return
	}
	old := m.records[r.VM]
	switch {
	case old != nil && r.claim() == old.claim():
		m.spread.heard(r.VM, from)
	case old != nil && !r.claim().Supersedes(old.claim()):
	case m.listed[r.VM] == nil && r.age(m.now) >= forgetAfter:
	case old == nil && len(m.records) >= maxRecords:
	default:
		m.put(r, from)
	}
}

// refute answers a newer record that speaks for this VM.
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

// stoppedBefore says that an incarnation of a VM was replaced by another, or
// has said that it stops.
func (m *membershipController) stoppedBefore(vm string, incarnation uint64) bool {
	for _, past := range m.past[vm] {
		if past == incarnation {
			return true
		}
	}
	r := m.records[vm]
	return r != nil && r.Incarnation == incarnation && r.State == peer.Stopped
}

// retire remembers the last incarnations of a VM that were replaced.
func (m *membershipController) retire(vm string, incarnation uint64) {
	past := append(m.past[vm], incarnation)
	m.past[vm] = past[max(0, len(past)-maxPast):]
}

// observe takes a report of traffic.
func (m *membershipController) observe(r fleetview.Report) {
	if m.records[r.VM] == nil && m.listed[r.VM] == nil {
		return
	}
	s := m.seen[r.VM]
	if s == nil {
		s = &seen{}
		m.seen[r.VM] = s
	}
	at := fresh{known: true, at: m.now}
	switch r.Kind {
	case fleetview.ReportPeerUnreachable:
		s.unreachable = at
	case fleetview.ReportPeerReachable:
		s.answered = at
	}
	m.mark(r.VM)
}

func bucketOf(vm string) int {
	return int(xxhash.Sum64String(vm) % peer.DigestBuckets)
}

// digestOf hashes what makes a record differ from another.
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

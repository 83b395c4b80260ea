package control

import (
	"time"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/decision/membership"
	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/peer/delta"
	"github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// board holds the entries over which the controllers exchange their results.
type board struct {
	// process is written by the thread.
	process *blackboard.Entry[process]
	// platformState is written by the platform controller.
	platformState *blackboard.Entry[platformState]
	// platformOffers is written by the platform controller.
	platformOffers *blackboard.Entry[offers]
	// peerOffers is written by the peer controller.
	peerOffers *blackboard.Entry[offers]
	// peers is written by the peer controller.
	peers *blackboard.Entry[peers]
	// peerReads is the time of the newest read of the platform that peers reported.
	// It is written by the peer controller.
	peerReads *blackboard.Entry[[keyCount]optionalTime]
	// documents is written by the adoption controller.
	documents *blackboard.Entry[documents]
	// members is written by the membership controller.
	members *blackboard.Entry[members]
	// suspects is written by the suspect controller.
	suspects *blackboard.Entry[suspects]
}

func newBoard() *board {
	return &board{
		process:        blackboard.NewEntry("life", process{}),
		platformState:  blackboard.NewEntry("contact", platformState{}),
		platformOffers: blackboard.NewEntry("platform offers", offers{}),
		peerOffers:     blackboard.NewEntry("peer offers", offers{}),
		peers:          blackboard.NewEntry("peers", peers{}),
		peerReads:      blackboard.NewEntry("peer reads", [keyCount]optionalTime{}),
		documents:      blackboard.NewEntry("documents", documents{}),
		members:        blackboard.NewEntry("members", members{byVM: make(map[string]*member)}),
		suspects:       blackboard.NewEntry("suspects", suspects{}),
	}
}

// process is the state of the process.
type process struct {
	// epoch counts the late wake-ups, from 1. Operations that began in an earlier
	// epoch are discarded.
	epoch uint64
	// since is the start of the epoch.
	since time.Duration
	// leaving says that the planned stop has begun.
	leaving bool
}

// optionalTime is a process time that may be unknown.
type optionalTime struct {
	known bool
	at    time.Duration
}

// newer returns the later of two times.
func (f optionalTime) newer(other optionalTime) optionalTime {
	if other.known && (!f.known || other.at > f.at) {
		return other
	}
	return f
}

// platformState is the platform controller's result: how this node reads the
// platform, and whether the platform answers.
type platformState struct {
	duty     [keyCount]readers.Duty
	lastRead [keyCount]optionalTime
	failing  bool
	reason   platform.Reason
}

// offers holds the newest offer of each document.
type offers [keyCount]*offer

// document is the state of one document on this node.
type document struct {
	version  adoption.Version
	document *delta.Document
	// history holds the previous states, the newest first, as bases of deltas.
	history     []*delta.Document
	index       *catalogue.Index
	list        *vmlist.Table
	lastRefusal *refusal
	// candidate is the newest state received while nothing is in force yet.
	candidate *offer
}

// refusal says why the newest offered state is not in force.
type refusal struct {
	version adoption.Version
	source  string
	reason  string
}

// isObsolete reports whether a state that is put into force makes the refusal meaningless: it is newer, or the
// refused one. Other content under the same revision remains a conflict.
func (r *refusal) isObsolete(inForce adoption.Version) bool {
	return r.version.Revision < inForce.Revision || r.version == inForce
}

// documents is written by the adoption controller.
type documents struct {
	byKey [keyCount]document
	// confirmed is set once platform and peers have answered in this epoch, or the
	// wait for them has timed out.
	confirmed    bool
	gateDecision adoption.GateDecision
}

// peers is written by the peer controller. It describes the linked nodes and how
// their catalogues compare with this node's.
type peers struct {
	linked map[string]linkInfo // by VM
	// answered is the number of peers that sent their versions in this epoch.
	answered int
	// newer is set if a peer announced a catalogue that this node has not received
	// yet and would prefer: a newer one, or the fleet's content of the revision that
	// this node has only read from the platform.
	newer bool
	// conflicts holds the states of peers that have the same revision in force as
	// this node, with other content.
	conflicts offers
}

// linkInfo describes a linked VM.
type linkInfo struct {
	identity  peer.Identity
	confirmed bool // the peer acknowledged a heartbeat of this epoch
}

// members is written by the membership controller.
type members struct {
	// byVM holds all VMs, except those whose records have expired. Only replace
	// changes it.
	byVM map[string]*member
	// generation counts the changes of byVM; placement counts those that add or
	// remove a VM or change its zone or address.
	generation, placement uint64
	// changedVMs holds the VMs of the last changes of byVM, the newest last.
	changedVMs []string
	// fleet is the number of VMs in the list, otherCount the number of VMs that are
	// neither this one nor gone.
	fleet      int
	otherCount int
	// digests combines the hashes of the records by bucket.
	digests [peer.DigestBuckets]uint64
	// memberUpdates holds the records to forward that changed since the last run.
	memberUpdates []memberUpdate
}

// maxChangedVMs is the number of changes that are kept.
const maxChangedVMs = 1024

// replace sets the state of a VM, or removes the VM if one is nil.
func (m *members) replace(vm string, one *member) {
	old := m.byVM[vm]
	if old.isActivePeer() {
		m.otherCount--
	}
	if one.isActivePeer() {
		m.otherCount++
	}
	if old.isActivePeer() != one.isActivePeer() || old.isActivePeer() && old.location() != one.location() {
		m.placement++
	}
	if one == nil {
		delete(m.byVM, vm)
	} else {
		m.byVM[vm] = one
	}
	m.generation++
	if len(m.changedVMs) == 2*maxChangedVMs {
		m.changedVMs = append(m.changedVMs[:0], m.changedVMs[maxChangedVMs:]...)
	}
	m.changedVMs = append(m.changedVMs, vm)
}

// changedSince returns the VMs that changed after a generation. ok is false if
// the changes since then are no longer kept.
func (m *members) changedSince(generation uint64) (vms []string, ok bool) {
	n := m.generation - generation
	if n > uint64(len(m.changedVMs)) {
		return nil, false
	}
	return m.changedVMs[uint64(len(m.changedVMs))-n:], true
}

// memberUpdate is a record to forward to peers.
type memberUpdate struct {
	record peer.MemberRecord
	from   string // the VM that sent it, to which it is not sent back
}

// member is one VM with its state. It is immutable.
type member struct {
	identity peer.Identity
	decision membership.Decision
	own      bool
}

// isActivePeer reports whether the VM is another one than this node's and not gone.
func (m *member) isActivePeer() bool {
	return m != nil && !m.own && m.decision.State != membership.Gone
}

// memberLocation is the zone and peer address of a VM.
type memberLocation struct {
	zone, address string
}

func (m *member) location() memberLocation {
	return memberLocation{zone: m.identity.AvailabilityZone, address: m.identity.PeerAddress}
}

// suspects is the suspect controller's result.
type suspects struct {
	// endpointsLost is the number of crashed endpoints by request fingerprint.
	endpointsLost map[uint64]int
	// updates holds the suspects to forward that changed since the last run.
	updates []suspectUpdate
}

// suspectUpdate is a suspect to forward to peers.
type suspectUpdate struct {
	suspect peer.Suspect
	from    string
}

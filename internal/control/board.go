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

// board holds everything that controllers tell each other.
type board struct {
	// life is written by the thread itself.
	life *blackboard.Entry[life]
	// contact is written by the platform controller.
	contact *blackboard.Entry[contact]
	// platformOffers is written by the platform controller.
	platformOffers *blackboard.Entry[offers]
	// peerOffers is written by the peer controller.
	peerOffers *blackboard.Entry[offers]
	// peers is written by the peer controller.
	peers *blackboard.Entry[peers]
	// peerReads is the newest read of the platform that peers know of. It is
	// written by the peer controller.
	peerReads *blackboard.Entry[[keyCount]fresh]
	// documents is written by the adoption controller.
	documents *blackboard.Entry[documents]
	// members is written by the membership controller.
	members *blackboard.Entry[members]
	// suspects is written by the suspect controller.
	suspects *blackboard.Entry[suspects]
}

func newBoard() *board {
	return &board{
		life:           blackboard.NewEntry("life", life{}),
		contact:        blackboard.NewEntry("contact", contact{}),
		platformOffers: blackboard.NewEntry("platform offers", offers{}),
		peerOffers:     blackboard.NewEntry("peer offers", offers{}),
		peers:          blackboard.NewEntry("peers", peers{}),
		peerReads:      blackboard.NewEntry("peer reads", [keyCount]fresh{}),
		documents:      blackboard.NewEntry("documents", documents{}),
		members:        blackboard.NewEntry("members", members{byVM: make(map[string]*member)}),
		suspects:       blackboard.NewEntry("suspects", suspects{}),
	}
}

// life is the state of the process itself.
type life struct {
	// epoch counts the late wake-ups. What was begun in an earlier epoch is void.
	epoch uint64
	// since is the start of the epoch.
	since time.Duration
	// leaving says that the planned stop has begun.
	leaving bool
}

// fresh is the time of the newest read of the platform known for a document.
type fresh struct {
	known bool
	at    time.Duration
}

// newer returns the later of two.
func (f fresh) newer(other fresh) fresh {
	if other.known && (!f.known || other.at > f.at) {
		return other
	}
	return f
}

// contact is what the platform controller knows of the platform.
type contact struct {
	duty    [keyCount]readers.Duty
	read    [keyCount]fresh
	failing bool
	reason  platform.Reason
}

// offers holds the newest offer of each document.
type offers [keyCount]*offer

// document is one document in force.
type document struct {
	version  adoption.Version
	document *delta.Document
	// history holds the states before, the newest first, as bases of deltas.
	history []*delta.Document
	index   *catalogue.Index
	list    *vmlist.Table
	refused *refusal
	// candidate is the newest state heard of while nothing is in force yet.
	candidate *offer
}

// refusal says why the newest offered state is not in force.
type refusal struct {
	version adoption.Version
	source  string
	reason  string
}

// documents is written by the adoption controller.
type documents struct {
	byKey [keyCount]document
	// confirmed says that platform and peers were asked in this epoch, or that
	// the wait for them is over.
	confirmed bool
	opening   adoption.GateDecision
}

// peers is what the peer controller knows of the linked nodes.
type peers struct {
	linked map[string]linkFact // by VM
	// answered is the number of peers that told their versions in this epoch.
	answered int
	// newer says that a peer named a catalogue that has not come yet and is to be
	// preferred: a newer one, or the fleet's content of the revision that this
	// node has only read.
	newer bool
	// conflicts holds states that peers have in force under the revision that
	// this node has in force with other content.
	conflicts offers
}

// linkFact is first-hand knowledge of a linked VM.
type linkFact struct {
	identity  peer.Identity
	confirmed bool // it answered in this epoch
}

// members is the membership controller's result.
type members struct {
	// byVM holds all VMs but those long gone. Only replace changes it.
	byVM map[string]*member
	// generation counts the changes of byVM, placement those of them that change
	// where a VM is, or whether it is there at all.
	generation, placement uint64
	// changes names the VMs of the last changes of byVM, the newest last.
	changes []string
	// fleet is the number of VMs in the list, others those that are not this one
	// and not gone.
	fleet  int
	others int
	// digests combines the hashes of the records by bucket.
	digests [peer.DigestBuckets]uint64
	// news holds the records to pass on since the last run.
	news []news
}

// maxChanges bounds the changes that are remembered.
const maxChanges = 1024

// replace changes the state of a VM, or forgets it if one is nil.
func (m *members) replace(vm string, one *member) {
	old := m.byVM[vm]
	if old.there() {
		m.others--
	}
	if one.there() {
		m.others++
	}
	if old.there() != one.there() || old.there() && old.place() != one.place() {
		m.placement++
	}
	if one == nil {
		delete(m.byVM, vm)
	} else {
		m.byVM[vm] = one
	}
	m.generation++
	if len(m.changes) == 2*maxChanges {
		m.changes = append(m.changes[:0], m.changes[maxChanges:]...)
	}
	m.changes = append(m.changes, vm)
}

// since names the VMs that changed after a generation. ok is false if that is
// too long ago to tell.
func (m *members) since(generation uint64) (vms []string, ok bool) {
	n := m.generation - generation
	if n > uint64(len(m.changes)) {
		return nil, false
	}
	return m.changes[uint64(len(m.changes))-n:], true
}

// news is a record to pass on.
type news struct {
	record peer.MemberRecord
	from   string // the VM that told it, not to be told again
}

// member is one VM with its state. It is replaced, never changed.
type member struct {
	identity peer.Identity
	finding  membership.Decision
	own      bool
}

// there says that a VM is another one than this node's and not gone.
func (m *member) there() bool {
	return m != nil && !m.own && m.finding.State != membership.Gone
}

// memberPlace is where a VM is.
type memberPlace struct {
	zone, address string
}

func (m *member) place() memberPlace {
	return memberPlace{zone: m.identity.AvailabilityZone, address: m.identity.PeerAddress}
}

// suspects is the suspect controller's result.
type suspects struct {
	// lost is the number of endpoints lost by fingerprint.
	lost map[uint64]int
	// news holds the suspects to pass on since the last run.
	news []suspectNews
}

// suspectNews is a suspect to pass on.
type suspectNews struct {
	suspect peer.Suspect
	from    string
}

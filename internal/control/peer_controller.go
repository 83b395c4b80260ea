package control

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
)

const (
	// maxLinks bounds the links of a node, dialled and accepted.
	maxLinks = 32
	// ackTimeout is the time without an acknowledged heartbeat after which a link
	// is closed, even if messages still arrive on it.
	ackTimeout = peer.SilenceTimeout
	// stableLinkAge is the age from which a link that ends resets the count of
	// failed dials.
	stableLinkAge = 5 * time.Second
)

// link is the control thread's state of one link.
type link struct {
	*peer.Link
	seq, acked        uint64        // heartbeats sent, and acknowledged by the peer
	received          uint64        // last heartbeat received
	ackedAt           time.Duration // when acked last increased, or the link was opened
	confirmSeq        uint64        // the first heartbeat sent in this epoch
	confirmed         bool          // the peer acknowledged a heartbeat of this epoch
	heartbeatReceived bool          // in this epoch
	states            [keyCount]adoption.Version
	lastReads         [keyCount]optionalTime // newest reads of the platform that the peer reported
	openedAt          time.Duration          // when the link was opened
	digest            uint64
	parts             [keyCount]*assembly
	wholeSentAt       [keyCount]time.Duration // when a whole document was last sent
	compareAt         time.Duration
	compareDelay      time.Duration
}

// peerController manages the links with peers.
type peerController struct {
	*thread
	writer           *blackboard.Writer[peers]
	offersWriter     *blackboard.Writer[offers]
	readsWriter      *blackboard.Writer[[keyCount]optionalTime]
	transport        *peer.Transport
	random           *rand.Rand
	links            map[string]*link // by VM
	dials            map[string]*dialState
	pulls            [keyCount]pull
	refusedVersions  [keyCount]adoption.Version // the last invalid state
	placement        uint64                     // the members' placement counter when the targets were chosen
	chosenAt         time.Duration
	documentsVersion uint64
	lastRefused      string
	epoch            uint64
	dirty            bool
}

func newPeerController(t *thread) *peerController {
	s := t.Settings
	self := peer.Identity{
		VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Service: s.Service,
		PeerAddress: s.PeerAddress, Incarnation: t.Incarnation,
	}
	return &peerController{
		thread:       t,
		writer:       t.board.peers.Claim("peer controller"),
		offersWriter: t.board.peerOffers.Claim("peer controller"),
		readsWriter:  t.board.peerReads.Claim("peer controller"),
		transport:    peer.NewTransport(self, []byte(s.FleetKey), t.Log.Clock(), t.HTTP),
		random:       rand.New(rand.NewPCG(xxhash.Sum64String(s.VM), ^t.Incarnation)),
		links:        make(map[string]*link),
		dials:        make(map[string]*dialState),
		epoch:        t.board.process.Get().epoch,
	}
}

// accept serves one link that a peer makes. It runs outside the control thread.
func (t *thread) accept(w http.ResponseWriter, r *http.Request) {
	l, err := t.peers.transport.Accept(w, r)
	if err != nil {
		t.post(linkFailed{cause: err})
		return
	}
	t.serve(l)
}

// serve runs a link until it ends. It runs outside the control thread.
func (t *thread) serve(l *peer.Link) {
	t.post(linkOpened{link: l})
	cause := l.Run(t.ctx, func(m *peer.Message) { t.post(linkMessage{link: l, message: m}) })
	t.post(linkEnded{link: l, cause: cause})
}

// run dials targets, closes links whose heartbeats are not acknowledged and pulls
// newer documents.
func (p *peerController) run() {
	if process := p.board.process.Get(); process.epoch != p.epoch {
		p.beginEpoch(process.epoch)
	}
	p.updateTargets()
	p.startDials()
	for _, l := range p.links {
		if p.now-l.ackedAt >= ackTimeout {
			l.Close(&peer.Violation{Fault: peer.FaultStalled, Detail: "heartbeats are not acknowledged"})
		}
	}
	p.updatePeerReads()
	p.startPulls()
	if p.dirty || p.documentsVersion != p.board.documents.Version() {
		p.dirty, p.documentsVersion = false, p.board.documents.Version()
		p.publish()
	}
}

// beginEpoch treats all links as unconfirmed after a pause of the process.
func (p *peerController) beginEpoch(epoch uint64) {
	p.epoch = epoch
	for _, l := range p.links {
		l.confirmed, l.heartbeatReceived = false, false
		l.confirmSeq, l.ackedAt = l.seq+1, p.now
	}
	p.pulls = [keyCount]pull{}
	p.writer.Set(peers{})
	p.dirty = true
}

// addLink adds a link, unless the peer's identity is refused.
func (p *peerController) addLink(l *peer.Link) {
	if d := p.dials[l.Remote.VM]; l.Dialled && d != nil {
		d.busy = false
	}
	if err := p.checkPeer(l); err != nil {
		p.logRefused(l.Remote.VM, err)
		l.Close(err)
		return
	}
	if old := p.links[l.Remote.VM]; old != nil {
		if p.keepsOld(old, l) {
			l.Close(nil)
			return
		}
		old.Close(nil)
	}
	p.links[l.Remote.VM] = &link{Link: l, openedAt: p.now, ackedAt: p.now, confirmSeq: 1, compareAt: p.gossip.firstCompare(), compareDelay: compareDelayMin}
	p.dirty = true
	p.Log.Emit(event.LinkUp, "", event.F("peer", l.Remote.VM), event.F("incarnation", l.Remote.Incarnation), event.F("dialled", l.Dialled))
	p.membership.reannounce()
	p.gossip.initialiseLink(p.links[l.Remote.VM])
}

// checkPeer returns why the peer's identity is refused, or nil.
func (p *peerController) checkPeer(l *peer.Link) error {
	remote := l.Remote
	if remote.VM == p.Settings.VM {
		return &peer.Violation{Fault: peer.FaultIdentity, Detail: "the peer has the name of this node"}
	}
	if listed := p.membership.listed[remote.VM]; listed != nil &&
		(listed.AvailabilityZone != remote.AvailabilityZone || listed.Region != remote.Region || listed.Service != remote.Service) {
		return &peer.Violation{Fault: peer.FaultIdentity, Detail: "zone, region or service is not as listed"}
	}
	old := p.links[remote.VM]
	if old != nil && old.confirmed && old.Remote.Incarnation != remote.Incarnation {
		p.Log.Emit(event.IncarnationConflict, "", event.F("member", remote.VM),
			event.F("linked", old.Remote.Incarnation), event.F("claimed", remote.Incarnation))
		return &peer.Violation{Fault: peer.FaultStaleIncarnation, Detail: "another incarnation of the VM is linked"}
	}
	if p.membership.isPastIncarnation(remote.VM, remote.Incarnation) {
		return &peer.Violation{Fault: peer.FaultStaleIncarnation, Detail: "this incarnation was replaced or has stopped"}
	}
	if old == nil && len(p.links) >= maxLinks {
		return &peer.Violation{Fault: peer.FaultTooManyLinks, Detail: "the node has reached its limit of links"}
	}
	return nil
}

// keepsOld reports whether the existing one of two links of the same two processes
// is kept. Both sides keep the link that the VM with the smaller name dialled; of
// two that one side dialled, the newer.
func (p *peerController) keepsOld(old *link, l *peer.Link) bool {
	if old.Remote.Incarnation != l.Remote.Incarnation || old.Dialled == l.Dialled {
		return false
	}
	dialler := l.Remote.VM
	if l.Dialled {
		dialler = p.Settings.VM
	}
	return dialler > min(l.Remote.VM, p.Settings.VM)
}

// removeLink removes a link whose goroutines have ended.
func (p *peerController) removeLink(m linkEnded) {
	vm := m.link.Remote.VM
	var fault *peer.Violation
	if errors.As(m.cause, &fault) {
		p.logRefused(vm, fault)
	}
	l := p.links[vm]
	if l == nil || l.Link != m.link {
		return
	}
	delete(p.links, vm)
	p.delayDial(l)
	for k := range p.pulls {
		if p.pulls[k].from == vm {
			p.pulls[k] = pull{}
		}
	}
	p.dirty = true
	p.Log.Emit(event.LinkClosed, "", event.F("peer", vm), event.F("cause", m.cause))
}

// delayDial applies the dial backoff after the end of a link, so that a link that
// ends early is not dialled again immediately.
func (p *peerController) delayDial(l *link) {
	d := p.dials[l.Remote.VM]
	if d == nil {
		return
	}
	if p.now-l.openedAt >= stableLinkAge {
		d.failures = 0
	}
	d.failures++
	d.next = p.now + dialBackoff(d.failures, p.random.Float64())
}

// handleLinkFailure handles a dial or a link that failed before it was authenticated.
func (p *peerController) handleLinkFailure(m linkFailed) {
	var fault *peer.Violation
	if errors.As(m.cause, &fault) {
		p.logRefused(m.vm, fault)
	}
	if d := p.dials[m.vm]; d != nil {
		d.busy = false
		d.failures++
		d.next = p.now + dialBackoff(d.failures, p.random.Float64())
	}
}

func (p *peerController) closeAll() {
	for _, l := range p.links {
		l.Close(nil)
	}
}

// publish writes the state of the links to the board.
func (p *peerController) publish() {
	state := peers{linked: make(map[string]linkInfo, len(p.links))}
	for vm, l := range p.links {
		state.linked[vm] = linkInfo{identity: l.Remote, confirmed: l.confirmed}
		if l.heartbeatReceived {
			state.answered++
		}
		for k, v := range l.states {
			p.compareState(&state, key(k), v, vm)
		}
	}
	p.writer.Set(state)
}

// compareState records whether a state of a peer is newer or in conflict.
func (p *peerController) compareState(state *peers, k key, v adoption.Version, vm string) {
	baseline := p.adoption.baseline(k)
	if k == keyCatalogue && v != p.refusedVersions[k] && p.shouldPull(k, baseline, v) {
		state.newer = true
	}
	if adoption.Decide(baseline, v) == adoption.Conflict && v.Revision > 0 {
		state.conflicts[k] = &offer{key: k, version: v, source: vm}
	}
}

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
	// lostAfter is the time without an acknowledged beat after which a link
	// counts as lost, although messages may still come in on it.
	lostAfter = peer.SilenceTimeout
	// goodLink is the life after which the end of a link is no failed dial.
	goodLink = 5 * time.Second
)

// link is the control thread's state of one link.
type link struct {
	*peer.Link
	seq, acked uint64        // beats sent, and acknowledged by the peer
	received   uint64        // last beat received
	ackedAt    time.Duration // when acked last rose, or the link began
	confirmSeq uint64        // the first beat sent in this epoch
	confirmed  bool          // the peer acknowledged a beat of this epoch
	told       bool          // a beat came in this epoch
	states     [keyCount]adoption.Version
	read       [keyCount]fresh // newest read of the platform that the peer knows of
	since      time.Duration   // when the link began
	digest     uint64
	parts      [keyCount]*assembly
	served     [keyCount]time.Duration // when a whole document was last sent
	compareAt  time.Duration
	compareGap time.Duration
}

// peerController owns the links.
type peerController struct {
	*thread
	out         *blackboard.Writer[peers]
	offers      *blackboard.Writer[offers]
	reads       *blackboard.Writer[[keyCount]fresh]
	node        *peer.Transport
	random      *rand.Rand
	links       map[string]*link // by VM
	dials       map[string]*dial
	pulls       [keyCount]pull
	refusal     [keyCount]adoption.Version // last state that could not be used
	placement   uint64                     // of the members for which targets were chosen
	chosenAt    time.Duration
	documentsAt uint64
	lastRefused string
	epoch       uint64
	dirty       bool
}

func newPeerController(t *thread) *peerController {
	s := t.Settings
	self := peer.Identity{
		VM: s.VM, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Service: s.Service,
		PeerAddress: s.PeerAddress, Incarnation: t.Incarnation,
	}
	return &peerController{
		thread: t,
		out:    t.board.peers.Claim("peer controller"),
		offers: t.board.peerOffers.Claim("peer controller"),
		reads:  t.board.peerReads.Claim("peer controller"),
		node:   peer.NewTransport(self, []byte(s.FleetKey), t.Log.Clock(), t.HTTP),
		random: rand.New(rand.NewPCG(xxhash.Sum64String(s.VM), ^t.Incarnation)),
		links:  make(map[string]*link),
		dials:  make(map[string]*dial),
		epoch:  t.board.life.Get().epoch,
	}
}

// accept serves one link that a peer makes. It runs outside the control thread.
func (t *thread) accept(w http.ResponseWriter, r *http.Request) {
	l, err := t.peers.node.Accept(w, r)
	if err != nil {
		t.post(linkRefused{cause: err})
		return
	}
	t.serve(l)
}

// serve carries a link until it ends. It runs outside the control thread.
func (t *thread) serve(l *peer.Link) {
	t.post(linkOpened{link: l})
	cause := l.Run(t.ctx, func(m *peer.Message) { t.post(linkMessage{link: l, message: m}) })
	t.post(linkEnded{link: l, cause: cause})
}

// run keeps the links: it dials, and closes what is lost.
func (p *peerController) run() {
	if life := p.board.life.Get(); life.epoch != p.epoch {
		p.wake(life.epoch)
	}
	p.updateTargets()
	p.dialDue()
	for _, l := range p.links {
		if p.now-l.ackedAt >= lostAfter {
			l.Close(&peer.Violation{Fault: peer.FaultStalled, Detail: "beats are not acknowledged"})
		}
	}
	p.freshen()
	p.pullDue()
	if p.dirty || p.documentsAt != p.board.documents.Version() {
		p.dirty, p.documentsAt = false, p.board.documents.Version()
		p.publish()
	}
}

// wake treats all links as unproven after a pause of the process.
func (p *peerController) wake(epoch uint64) {
	p.epoch = epoch
	for _, l := range p.links {
		l.confirmed, l.told = false, false
		l.confirmSeq, l.ackedAt = l.seq+1, p.now
	}
	p.pulls = [keyCount]pull{}
	p.out.Set(peers{})
	p.dirty = true
}

// opened takes a link in, unless the peer can't be who it says.
func (p *peerController) opened(l *peer.Link) {
	if d := p.dials[l.Remote.VM]; l.Dialled && d != nil {
		d.busy = false
	}
	if err := p.judge(l); err != nil {
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
	p.links[l.Remote.VM] = &link{Link: l, since: p.now, ackedAt: p.now, confirmSeq: 1, compareAt: p.spread.firstCompare(), compareGap: compareFirst}
	p.dirty = true
	p.Log.Emit(event.LinkUp, "", event.F("peer", l.Remote.VM), event.F("incarnation", l.Remote.Incarnation), event.F("dialled", l.Dialled))
	p.membership.speak()
	p.spread.greet(p.links[l.Remote.VM])
}

// judge returns the fault of a peer that is not who it says.
func (p *peerController) judge(l *peer.Link) error {
	remote := l.Remote
	if remote.VM == p.Settings.VM {
		return &peer.Violation{Fault: peer.FaultIdentity, Detail: "the peer has this node's own name"}
	}
	if listed := p.membership.listed[remote.VM]; listed != nil &&
		(listed.AvailabilityZone != remote.AvailabilityZone || listed.Region != remote.Region || listed.Service != remote.Service) {
		return &peer.Violation{Fault: peer.FaultIdentity, Detail: "zone, region or service is not as listed"}
	}
	old := p.links[remote.VM]
	if old != nil && old.confirmed && old.Remote.Incarnation != remote.Incarnation {
		p.Log.Emit(event.IncarnationConflict, "", event.F("member", remote.VM),
			event.F("linked", old.Remote.Incarnation), event.F("claimed", remote.Incarnation))
		return &peer.Violation{Fault: peer.FaultStaleIncarnation, Detail: "another incarnation of the VM answers"}
	}
	if p.membership.stoppedBefore(remote.VM, remote.Incarnation) {
		return &peer.Violation{Fault: peer.FaultStaleIncarnation, Detail: "this incarnation was replaced or has stopped"}
	}
	if old == nil && len(p.links) >= maxLinks {
		return &peer.Violation{Fault: peer.FaultTooManyLinks, Detail: "the node has all its links"}
	}
	return nil
}

// keepsOld decides between two links of the same two processes. Both sides keep
// the link that the VM with the smaller name made; of two that one side made,
// the newer.
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

// ended forgets a link whose goroutines have ended.
func (p *peerController) ended(m linkEnded) {
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

// delayDial keeps a link that ended soon from being made again at once.
func (p *peerController) delayDial(l *link) {
	d := p.dials[l.Remote.VM]
	if d == nil {
		return
	}
	if p.now-l.since >= goodLink {
		d.failures = 0
	}
	d.failures++
	d.next = p.now + dialBackoff(d.failures, p.random.Float64())
}

// refused notes a link that did not come about.
func (p *peerController) refused(m linkRefused) {
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

// publish writes what others need to know of the links.
func (p *peerController) publish() {
	state := peers{linked: make(map[string]linkFact, len(p.links))}
	for vm, l := range p.links {
		state.linked[vm] = linkFact{identity: l.Remote, confirmed: l.confirmed}
		if l.told {
			state.answered++
		}
		for k, v := range l.states {
			p.compareState(&state, key(k), v, vm)
		}
	}
	p.out.Set(state)
}

// compareState notes a state of a peer that is newer, or in conflict.
func (p *peerController) compareState(state *peers, k key, v adoption.Version, vm string) {
	best := p.adoption.best(k)
	if k == keyCatalogue && v != p.refusal[k] && p.wants(k, best, v) {
		state.newer = true
	}
	if adoption.Decide(best, v) == adoption.Conflict && v.Revision > 0 {
		state.conflicts[k] = &offer{key: k, version: v, source: vm}
	}
}

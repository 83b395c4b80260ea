package control

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/peer/delta"
)

const (
	// pullTimeout is the time for a document to come before another peer is asked.
	pullTimeout = 2 * time.Second
	// serveWholeGap is the shortest time between two whole documents on one link.
	serveWholeGap = time.Second
)

// pull is a document on its way from a peer.
type pull struct {
	from    string
	version adoption.Version
	at      time.Duration
}

// assembly gathers the parts of a delta.
type assembly struct {
	version adoption.Version
	delta   delta.Delta
	next    uint16
	bytes   int
}

// receive handles one message of a peer.
func (p *peerController) receive(m linkMessage) {
	l := p.links[m.link.Remote.VM]
	if l == nil || l.Link != m.link {
		return
	}
	switch message := m.message; {
	case message.Heartbeat != nil:
		p.beat(l, message.Heartbeat)
	case message.Pull != nil:
		p.spread.serve(l, message.Pull)
	case message.Part != nil:
		p.part(l, message.Part)
	case message.MemberRecords != nil:
		p.recordsOf(l, message.MemberRecords)
	case message.BucketDigests != nil:
		p.spread.answer(l, message.BucketDigests)
	case message.Suspects != nil:
		p.suspects.learn(message.Suspects.List, l.Remote.VM)
	}
}

// beat takes the state of a peer.
func (p *peerController) beat(l *link, b *peer.Heartbeat) {
	if b.Seq <= l.received || b.Ack > l.seq {
		p.fault(l, peer.FaultMalformed, "beats are out of order")
		return
	}
	l.received, l.digest = b.Seq, b.Digest
	if b.Ack > l.acked {
		l.acked, l.ackedAt = b.Ack, p.now
	}
	changed := !l.told
	l.told = true
	if !l.confirmed && l.acked >= l.confirmSeq {
		l.confirmed, changed = true, true
	}
	for k := range keyCount {
		state := b.Documents[k]
		v := adoption.Version{Revision: state.Revision, Hash: state.Hash}
		if adoption.Decide(l.states[k], v) == adoption.Older {
			p.fault(l, peer.FaultMalformed, "the peer goes back to an older state")
			return
		}
		changed = changed || l.states[k] != v
		l.states[k] = v
		if age, known := peer.Age(state.ReadAgeMs); known {
			l.read[k] = l.read[k].newer(fresh{known: true, at: p.now - age})
		}
	}
	p.dirty = p.dirty || changed
}

// freshen finds the newest read of the platform that peers know of. A read
// counts only if this node has the state which it found.
func (p *peerController) freshen() {
	var read [keyCount]fresh
	for _, l := range p.links {
		for k := range keyCount {
			if l.told && adoption.Decide(p.adoption.best(k), l.states[k]) == adoption.Same {
				read[k] = read[k].newer(l.read[k])
			}
		}
	}
	if read != p.board.peerReads.Get() {
		p.reads.Set(read)
	}
}

// pullDue asks a peer for each document of which one has a newer state.
func (p *peerController) pullDue() {
	for k := range keyCount {
		if p.pulls[k].from != "" && p.now-p.pulls[k].at < pullTimeout {
			continue
		}
		p.pullNewest(k)
	}
}

func (p *peerController) pullNewest(k key) {
	best := p.adoption.best(k)
	late := p.pulls[k].from
	var from *link
	for vm, l := range p.links {
		v := l.states[k]
		if !p.wants(k, best, v) || v == p.refusal[k] {
			continue
		}
		if from == nil || v.Revision > from.states[k].Revision || from.Remote.VM == late && vm != late {
			from = l
		}
	}
	if from == nil {
		p.pulls[k] = pull{}
		return
	}
	p.pulls[k] = pull{from: from.Remote.VM, version: from.states[k], at: p.now}
	from.parts[k] = nil
	from.Send(&peer.Message{Pull: &peer.Pull{Document: uint8(k), Base: p.base(k).Hash()}})
}

// wants says whether a peer's state is to be fetched: a newer one, or, before
// anything is in force, the fleet's content of the revision that was read.
func (p *peerController) wants(k key, best, v adoption.Version) bool {
	verdict := adoption.Decide(best, v)
	candidate := p.board.documents.Get().byKey[k].candidate
	onlyRead := candidate != nil && candidate.source == sourcePlatform
	return verdict == adoption.Adopt || verdict == adoption.Conflict && onlyRead && v.Revision > 0
}

// base returns the document on which a delta may build.
func (p *peerController) base(k key) *delta.Document {
	state := p.board.documents.Get().byKey[k]
	switch {
	case state.document != nil:
		return state.document
	case state.candidate != nil && state.candidate.document != nil:
		return state.candidate.document
	default:
		return delta.Empty
	}
}

// part takes one part of the document that was asked for.
func (p *peerController) part(l *link, part *peer.Part) {
	k := key(part.Document)
	if p.pulls[k].from != l.Remote.VM {
		return // came too late
	}
	a := l.parts[k]
	if part.Index == 0 {
		a = &assembly{
			version: adoption.Version{Revision: part.Revision, Hash: part.Hash},
			delta:   delta.Delta{Base: part.Base, Hash: part.Hash},
		}
		l.parts[k] = a
	}
	if a == nil || part.Index != a.next {
		p.fault(l, peer.FaultMalformed, "parts are out of order")
		return
	}
	a.next++
	for _, entry := range part.Entries {
		a.bytes += len(entry)
	}
	a.delta.Steps = append(a.delta.Steps, part.Steps...)
	a.delta.Entries = append(a.delta.Entries, part.Entries...)
	if a.bytes > delta.MaxDocumentBytes || len(a.delta.Steps) > delta.MaxEntries {
		p.fault(l, peer.FaultMalformed, "a document is too large")
		return
	}
	p.pulls[k].at = p.now
	if part.Last {
		l.parts[k] = nil
		p.build(l, k, a)
	}
}

// build makes the document on another goroutine.
func (p *peerController) build(l *link, k key, a *assembly) {
	base := p.baseOf(k, a.delta.Base)
	if base == nil {
		p.pulls[k] = pull{} // the base was replaced meanwhile; ask again
		return
	}
	on := basisOf(p.board.documents.Get().byKey[k])
	p.goDo(func() {
		o, err := decodeDelta(k, a.version, on, base, &a.delta, l.Remote.VM)
		p.post(documentBuilt{link: l.Link, key: k, offer: o, err: err})
	})
}

// baseOf returns the known document with a hash, or nil.
func (p *peerController) baseOf(k key, hash delta.Hash) *delta.Document {
	known := append([]*delta.Document{delta.Empty, p.base(k)}, p.board.documents.Get().byKey[k].history...)
	for _, d := range known {
		if d.Hash() == hash {
			return d
		}
	}
	return nil
}

// built offers a document to the adoption controller.
func (p *peerController) built(m documentBuilt) {
	if p.pulls[m.key].from == m.link.Remote.VM {
		p.pulls[m.key] = pull{}
	}
	if m.err != nil {
		if l := p.links[m.link.Remote.VM]; l != nil && l.Link == m.link {
			p.fault(l, peer.FaultMalformed, m.err.Error())
		}
		return
	}
	if m.offer.fault != nil {
		p.refusal[m.key] = m.offer.version
	}
	all := p.board.peerOffers.Get()
	all[m.key] = m.offer
	p.offers.Set(all)
	p.dirty = true
}

// recordsOf takes records, unless the peer speaks falsely of itself.
func (p *peerController) recordsOf(l *link, records *peer.MemberRecords) {
	for i := range records.List {
		r := &records.List[i]
		if r.VM == l.Remote.VM && r.Incarnation != l.Remote.Incarnation {
			p.fault(l, peer.FaultStaleIncarnation, "the peer's record names another incarnation")
			return
		}
	}
	p.membership.learn(records.List, l.Remote.VM)
}

// fault closes a link for what the peer did.
func (p *peerController) fault(l *link, fault peer.Fault, detail string) {
	l.Close(&peer.Violation{Fault: fault, Detail: detail})
}

func (p *peerController) logRefused(vm string, err error) {
	var fault *peer.Violation
	if errors.As(err, &fault) {
		p.lastRefused = vm + ": " + fault.Error()
		p.Log.Emit(event.LinkRefused, "", event.F("peer", vm), event.F("fault", fault.Fault.String()), event.F("detail", fault.Detail))
	}
}

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
	// pullTimeout is the time without a part after which a document is requested
	// from another peer.
	pullTimeout = 2 * time.Second
	// serveWholeGap is the shortest time between two sends of a whole document on
	// one link.
	serveWholeGap = time.Second
)

// pull is a document that was requested from a peer.
type pull struct {
	from    string
	version adoption.Version
	at      time.Duration
}

// assembly collects the parts of a delta.
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
		p.handleHeartbeat(l, message.Heartbeat)
	case message.Pull != nil:
		p.gossip.sendDocument(l, message.Pull)
	case message.Part != nil:
		p.addPart(l, message.Part)
	case message.MemberRecords != nil:
		p.handleRecords(l, message.MemberRecords)
	case message.BucketDigests != nil:
		p.gossip.sendDifferingRecords(l, message.BucketDigests)
	case message.Suspects != nil:
		p.suspects.mergeSuspects(message.Suspects.List, l.Remote.VM)
	}
}

// handleHeartbeat records the state that a peer reports.
func (p *peerController) handleHeartbeat(l *link, b *peer.Heartbeat) {
	if b.Seq <= l.received || b.Ack > l.seq {
		p.closeForFault(l, peer.FaultMalformed, "heartbeats are out of order")
		return
	}
	l.received, l.digest = b.Seq, b.Digest
	if b.Ack > l.acked {
		l.acked, l.ackedAt = b.Ack, p.now
	}
	changed := !l.heartbeatReceived
	l.heartbeatReceived = true
	if !l.confirmed && l.acked >= l.confirmSeq {
		l.confirmed, changed = true, true
	}
	for k := range keyCount {
		state := b.Documents[k]
		v := adoption.Version{Revision: state.Revision, Hash: state.Hash}
		if adoption.Decide(l.states[k], v) == adoption.Older {
			p.closeForFault(l, peer.FaultMalformed, "the peer reverted to an older state")
			return
		}
		changed = changed || l.states[k] != v
		l.states[k] = v
		if age, known := peer.Age(state.ReadAgeMs); known {
			l.lastReads[k] = l.lastReads[k].newer(optionalTime{known: true, at: p.now - age})
		}
	}
	p.dirty = p.dirty || changed
}

// updatePeerReads publishes the newest read of the platform that peers reported. A
// read counts only if this node has the state that it returned.
func (p *peerController) updatePeerReads() {
	var lastReads [keyCount]optionalTime
	for _, l := range p.links {
		for k := range keyCount {
			if l.heartbeatReceived && adoption.Decide(p.adoption.baseline(k), l.states[k]) == adoption.Same {
				lastReads[k] = lastReads[k].newer(l.lastReads[k])
			}
		}
	}
	if lastReads != p.board.peerReads.Get() {
		p.readsWriter.Set(lastReads)
	}
}

// startPulls requests each document of which a peer has a newer state.
func (p *peerController) startPulls() {
	for k := range keyCount {
		if p.pulls[k].from != "" && p.now-p.pulls[k].at < pullTimeout {
			continue
		}
		p.pullNewest(k)
	}
}

func (p *peerController) pullNewest(k key) {
	baseline := p.adoption.baseline(k)
	timedOut := p.pulls[k].from
	var from *link
	for vm, l := range p.links {
		v := l.states[k]
		if !p.shouldPull(k, baseline, v) || v == p.refusedVersions[k] {
			continue
		}
		if from == nil || v.Revision > from.states[k].Revision || from.Remote.VM == timedOut && vm != timedOut {
			from = l
		}
	}
	if from == nil {
		p.pulls[k] = pull{}
		return
	}
	p.pulls[k] = pull{from: from.Remote.VM, version: from.states[k], at: p.now}
	from.parts[k] = nil
	from.Send(&peer.Message{Pull: &peer.Pull{Document: uint8(k), Base: p.deltaBase(k).Hash()}})
}

// shouldPull reports whether a peer's state is to be fetched: a newer one, or,
// before anything is in force, the fleet's content of the revision that was read
// from the platform.
func (p *peerController) shouldPull(k key, baseline, v adoption.Version) bool {
	verdict := adoption.Decide(baseline, v)
	candidate := p.board.documents.Get().byKey[k].candidate
	onlyRead := candidate != nil && candidate.source == sourcePlatform
	return verdict == adoption.Adopt || verdict == adoption.Conflict && onlyRead && v.Revision > 0
}

// deltaBase returns the document to which a delta may apply.
func (p *peerController) deltaBase(k key) *delta.Document {
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

// addPart adds one part of a requested document.
func (p *peerController) addPart(l *link, part *peer.Part) {
	k := key(part.Document)
	if p.pulls[k].from != l.Remote.VM {
		return // no longer requested from this peer
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
		p.closeForFault(l, peer.FaultMalformed, "parts are out of order")
		return
	}
	a.next++
	for _, entry := range part.Entries {
		a.bytes += len(entry)
	}
	a.delta.Steps = append(a.delta.Steps, part.Steps...)
	a.delta.Entries = append(a.delta.Entries, part.Entries...)
	if a.bytes > delta.MaxDocumentBytes || len(a.delta.Steps) > delta.MaxEntries {
		p.closeForFault(l, peer.FaultMalformed, "the document is too large")
		return
	}
	p.pulls[k].at = p.now
	if part.Last {
		l.parts[k] = nil
		p.buildDocument(l, k, a)
	}
}

// buildDocument builds the document on another goroutine.
func (p *peerController) buildDocument(l *link, k key, a *assembly) {
	base := p.findBase(k, a.delta.Base)
	if base == nil {
		p.pulls[k] = pull{} // the base was replaced meanwhile; request it again
		return
	}
	basis := basisOf(p.board.documents.Get().byKey[k])
	p.goTracked(func() {
		o, err := decodeDelta(k, a.version, basis, base, &a.delta, l.Remote.VM)
		p.post(documentBuilt{link: l.Link, key: k, offer: o, err: err})
	})
}

// findBase returns the document with a hash if this node has it, or nil.
func (p *peerController) findBase(k key, hash delta.Hash) *delta.Document {
	known := append([]*delta.Document{delta.Empty, p.deltaBase(k)}, p.board.documents.Get().byKey[k].history...)
	for _, d := range known {
		if d.Hash() == hash {
			return d
		}
	}
	return nil
}

// offerDocument offers a built document to the adoption controller.
func (p *peerController) offerDocument(m documentBuilt) {
	if p.pulls[m.key].from == m.link.Remote.VM {
		p.pulls[m.key] = pull{}
	}
	if m.err != nil {
		if l := p.links[m.link.Remote.VM]; l != nil && l.Link == m.link {
			p.closeForFault(l, peer.FaultMalformed, m.err.Error())
		}
		return
	}
	if m.offer.fault != nil {
		p.refusedVersions[m.key] = m.offer.version
	}
	all := p.board.peerOffers.Get()
	all[m.key] = m.offer
	p.offersWriter.Set(all)
	p.dirty = true
}

// handleRecords merges records, unless the peer's own record names another
// incarnation than its link.
func (p *peerController) handleRecords(l *link, records *peer.MemberRecords) {
	for i := range records.List {
		r := &records.List[i]
		if r.VM == l.Remote.VM && r.Incarnation != l.Remote.Incarnation {
			p.closeForFault(l, peer.FaultStaleIncarnation, "the peer's record names another incarnation")
			return
		}
	}
	p.membership.mergeRecords(records.List, l.Remote.VM)
}

// closeForFault closes a link for a violation by the peer.
func (p *peerController) closeForFault(l *link, fault peer.Fault, detail string) {
	l.Close(&peer.Violation{Fault: fault, Detail: detail})
}

func (p *peerController) logRefused(vm string, err error) {
	var fault *peer.Violation
	if errors.As(err, &fault) {
		p.lastRefused = vm + ": " + fault.Error()
		p.Log.Emit(event.LinkRefused, "", event.F("peer", vm), event.F("fault", fault.Fault.String()), event.F("detail", fault.Detail))
	}
}

package control

import (
	"slices"
	"time"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/peer/delta"
	"github.com/galenacart/galenacart/internal/wait"
)

const (
	// heartbeatInterval is the longest time between two heartbeats on a link.
	heartbeatInterval = time.Second
	// compareDelayMin is the time for which digests have to differ before the records
	// are compared. It doubles up to compareDelayMax while the difference persists.
	compareDelayMin = 2 * time.Second
	compareDelayMax = time.Minute
	// compareInterval is the shortest time between two comparisons that a node starts.
	compareInterval = time.Second
	// forwardInterval is the shortest time between two rounds in which records are
	// forwarded. Records received in between are batched, so that many simultaneous
	// changes cost few messages.
	forwardInterval = 50 * time.Millisecond
	// startupPeriod is the time after its start in which a node compares records with
	// a new peer immediately.
	startupPeriod = 10 * time.Second
)

// gossipController sends heartbeats, records, suspects and documents to the peers.
type gossipController struct {
	*thread
	heartbeatAt time.Duration
	// pending holds the records to forward, by VM.
	pending          map[string]*pendingRecord
	forwardedAt      time.Duration
	forwardScheduled bool // a goroutine posts a tick for the next round
	// comparedAt is the time of the last comparison that this node started.
	comparedAt   time.Duration
	started      time.Duration
	sentVersions [keyCount]adoption.Version // states in the last heartbeats
}

// pendingRecord is a record that is to be forwarded.
type pendingRecord struct {
	record peer.MemberRecord
	from   []string // the VMs that sent it
}

func newGossipController(t *thread) *gossipController {
	return &gossipController{thread: t, started: t.now, pending: make(map[string]*pendingRecord)}
}

// run forwards records and suspects, and sends heartbeats: immediately after a
// change of a document, else every heartbeatInterval.
func (s *gossipController) run() {
	s.forwardRecords()
	s.forwardSuspects()
	now := s.versions()
	if now != s.sentVersions || s.now-s.heartbeatAt >= heartbeatInterval {
		s.sentVersions, s.heartbeatAt = now, s.now
		for _, l := range s.peers.links {
			s.sendHeartbeat(l)
			s.compareRecords(l)
		}
	}
}

func (s *gossipController) versions() [keyCount]adoption.Version {
	var out [keyCount]adoption.Version
	for k := range keyCount {
		out[k] = s.board.documents.Get().byKey[k].version
	}
	return out
}

// sendHeartbeat sends the versions and digest of this node on one link.
func (s *gossipController) sendHeartbeat(l *link) {
	l.seq++
	b := &peer.Heartbeat{Seq: l.seq, Ack: l.received, Digest: s.digest()}
	for k, v := range s.versions() {
		lastRead := s.board.platformState.Get().lastRead[k].newer(s.board.peerReads.Get()[k])
		b.Documents[k] = peer.DocumentState{Revision: v.Revision, Hash: v.Hash, ReadAgeMs: peer.UnknownAgeMs()}
		if lastRead.known {
			b.Documents[k].ReadAgeMs = peer.AgeMs(s.now - lastRead.at)
		}
	}
	l.Send(&peer.Message{Heartbeat: b})
}

func (s *gossipController) digest() uint64 {
	var all uint64
	for i, d := range s.board.members.Get().digests {
		all ^= d * uint64(2*i+1) // odd factors, so that equal buckets don't cancel each other
	}
	return all
}

// initialiseLink sends the first messages on a link: a heartbeat, the node's own
// record and the suspects.
func (s *gossipController) initialiseLink(l *link) {
	s.sendHeartbeat(l)
	list := []peer.MemberRecord{s.withCurrentAge(s.membership.records[s.Settings.VM])}
	if r := s.membership.conflictingRecord(l.Remote); r != nil {
		list = append(list, s.withCurrentAge(r)) // the peer answers with a newer one
	}
	s.sendRecords(l, list)
	if list := s.suspects.activeSuspects(); len(list) > 0 {
		l.Send(&peer.Message{Suspects: &peer.Suspects{List: list}})
	}
}

// withCurrentAge returns a record with its current age.
func (s *gossipController) withCurrentAge(r *record) peer.MemberRecord {
	out := r.MemberRecord
	out.AgeMs = peer.AgeMs(r.age(s.now))
	return out
}

func (s *gossipController) forwardRecords() {
	for _, n := range s.board.members.Get().memberUpdates {
		s.pending[n.record.VM] = &pendingRecord{record: n.record, from: []string{n.from}}
	}
	if len(s.pending) == 0 {
		return
	}
	if wait := s.forwardedAt + forwardInterval - s.now; wait > 0 && !s.stopping() {
		s.scheduleForward(wait)
		return
	}
	for vm, l := range s.peers.links {
		var out []peer.MemberRecord
		for _, w := range s.pending {
			if !slices.Contains(w.from, vm) {
				out = append(out, w.record)
			}
		}
		s.sendRecords(l, out)
	}
	s.pending, s.forwardedAt, s.forwardScheduled = make(map[string]*pendingRecord), s.now, false
}

// scheduleForward posts a tick when the next round is due.
func (s *gossipController) scheduleForward(gap time.Duration) {
	if s.forwardScheduled {
		return
	}
	s.forwardScheduled = true
	s.goTracked(func() {
		if wait.For(s.ctx, gap) {
			s.post(tick{})
		}
	})
}

// stopping reports whether this node is leaving or stopping. Its record is then
// forwarded without batching.
func (s *gossipController) stopping() bool {
	return s.membership.records[s.Settings.VM].State != peer.Live
}

// excludeReceiver excludes a peer that sent a pending record from its receivers.
func (s *gossipController) excludeReceiver(vm, from string) {
	if w := s.pending[vm]; w != nil {
		w.from = append(w.from, from)
	}
}

func (s *gossipController) sendRecords(l *link, list []peer.MemberRecord) {
	for len(list) > 0 {
		n := min(len(list), peer.MaxMemberRecords)
		l.Send(&peer.Message{MemberRecords: &peer.MemberRecords{List: list[:n]}})
		list = list[n:]
	}
}

func (s *gossipController) forwardSuspects() {
	list := s.board.suspects.Get().updates
	if len(list) == 0 {
		return
	}
	for vm, l := range s.peers.links {
		var out []peer.Suspect
		for _, n := range list {
			if n.from != vm {
				out = append(out, n.suspect)
			}
		}
		if len(out) > 0 {
			l.Send(&peer.Message{Suspects: &peer.Suspects{List: out}})
		}
	}
}

// firstCompare returns the time of the first comparison on a new link. A node that
// has just started has no records and compares immediately; others wait, as the
// started node compares first.
func (s *gossipController) firstCompare() time.Duration {
	if s.now-s.started < startupPeriod {
		return s.now
	}
	return s.now + compareDelayMin
}

// compareRecords starts a comparison of records if the digests have differed for
// the link's compareDelay.
func (s *gossipController) compareRecords(l *link) {
	if !l.heartbeatReceived {
		return
	}
	if l.digest == s.digest() {
		l.compareAt, l.compareDelay = s.now+compareDelayMin, compareDelayMin
		return
	}
	if s.now < l.compareAt || s.now-s.comparedAt < compareInterval {
		return
	}
	s.comparedAt = s.now
	l.compareAt = s.now + l.compareDelay
	l.compareDelay = min(2*l.compareDelay, compareDelayMax)
	l.Send(&peer.Message{BucketDigests: &peer.BucketDigests{Digests: s.board.members.Get().digests}})
}

// sendDifferingRecords sends the records of the buckets that differ, and requests
// those of the peer.
func (s *gossipController) sendDifferingRecords(l *link, c *peer.BucketDigests) {
	own := s.board.members.Get().digests
	var list []peer.MemberRecord
	for vm, r := range s.membership.records {
		if b := bucketOf(vm); own[b] != c.Digests[b] {
			list = append(list, s.withCurrentAge(r))
		}
	}
	s.sendRecords(l, list)
	if !c.RecordsSent {
		l.Send(&peer.Message{BucketDigests: &peer.BucketDigests{Digests: own, RecordsSent: true}})
	}
}

// sendDocument sends the document that a peer requested: as a delta to the peer's
// state if this node has that, else whole.
func (s *gossipController) sendDocument(l *link, p *peer.Pull) {
	k := key(p.Document)
	state := s.board.documents.Get().byKey[k]
	if state.document == nil {
		return
	}
	base := delta.Empty
	for _, old := range state.history {
		if old.Hash() == p.Base {
			base = old
		}
	}
	if base == delta.Empty {
		if l.wholeSentAt[k] != 0 && s.now-l.wholeSentAt[k] < serveWholeGap {
			return // the peer repeats the request after its timeout
		}
		l.wholeSentAt[k] = s.now
	}
	for _, part := range splitParts(delta.Diff(base, state.document)) {
		part.Document, part.Revision = p.Document, state.version.Revision
		l.Send(&peer.Message{Part: part})
	}
}

// splitParts splits a delta into parts that fit into messages.
func splitParts(d *delta.Delta) []*peer.Part {
	var parts []*peer.Part
	var current *peer.Part
	size, added := 0, 0
	for _, step := range d.Steps {
		var entry []byte
		if step.Count == 0 {
			entry = d.Entries[added]
			added++
		}
		if current == nil || size+len(entry) > peer.PartBytes || len(current.Steps) == peer.MaxSteps {
			current = &peer.Part{Hash: d.Hash, Base: d.Base, Index: uint16(len(parts))}
			parts = append(parts, current)
			size = 0
		}
		current.Steps = append(current.Steps, step)
		if step.Count == 0 {
			current.Entries = append(current.Entries, entry)
			size += len(entry)
		}
	}
	if current == nil { // the empty document
		current = &peer.Part{Hash: d.Hash, Base: d.Base}
		parts = append(parts, current)
	}
	current.Last = true
	return parts
}

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
	// beatInterval is the longest time between two beats on a link.
	beatInterval = time.Second
	// compareFirst is the time after which records that differ are compared. It
	// doubles up to compareMax while the comparison does not end the difference.
	compareFirst = 2 * time.Second
	compareMax   = time.Minute
	// compareGap is the shortest time between two comparisons that a node begins.
	compareGap = time.Second
	// passGap is the shortest time between two rounds in which records are passed
	// on. What comes in between waits for the next, so that many VMs that come or
	// go together cost few messages.
	passGap = 50 * time.Millisecond
	// youth is the time after its start in which a node compares at once.
	youth = 10 * time.Second
)

// spreadController tells the peers what this node knows.
type spreadController struct {
	*thread
	beatAt time.Duration
	// waiting holds the records to pass on, by VM.
	waiting  map[string]*waitingRecord
	passedAt time.Duration
	later    bool // a goroutine waits to have them passed on
	// comparedAt is the time of the last comparison that this node began.
	comparedAt time.Duration
	started    time.Duration
	told       [keyCount]adoption.Version // states in the last beats
}

// waitingRecord is a record that waits to be passed on.
type waitingRecord struct {
	record peer.MemberRecord
	from   []string // the VMs that told it
}

func newSpreadController(t *thread) *spreadController {
	return &spreadController{thread: t, started: t.now, waiting: make(map[string]*waitingRecord)}
}

// run passes news on at once, and the rest at the pace of the beats.
func (s *spreadController) run() {
	s.passRecords()
	s.passSuspects()
	now := s.versions()
	if now != s.told || s.now-s.beatAt >= beatInterval {
		s.told, s.beatAt = now, s.now
		for _, l := range s.peers.links {
			s.beat(l)
			s.compare(l)
		}
	}
}

func (s *spreadController) versions() [keyCount]adoption.Version {
	var out [keyCount]adoption.Version
	for k := range keyCount {
		out[k] = s.board.documents.Get().byKey[k].version
	}
	return out
}

// beat sends the state of this node on one link.
func (s *spreadController) beat(l *link) {
	l.seq++
	b := &peer.Heartbeat{Seq: l.seq, Ack: l.received, Digest: s.digest()}
	for k, v := range s.versions() {
		read := s.board.contact.Get().read[k].newer(s.board.peerReads.Get()[k])
		b.Documents[k] = peer.DocumentState{Revision: v.Revision, Hash: v.Hash, ReadAgeMs: peer.UnknownAgeMs()}
		if read.known {
			b.Documents[k].ReadAgeMs = peer.AgeMs(s.now - read.at)
		}
	}
	l.Send(&peer.Message{Heartbeat: b})
}

func (s *spreadController) digest() uint64 {
	var all uint64
	for i, d := range s.board.members.Get().digests {
		all ^= d * uint64(2*i+1) // so that buckets don't cancel each other
	}
	return all
}

// greet begins a link: the node's state, its own record and the suspects.
func (s *spreadController) greet(l *link) {
	s.beat(l)
	list := []peer.MemberRecord{s.aged(s.membership.records[s.Settings.VM])}
	if r := s.membership.contradicts(l.Remote); r != nil {
		list = append(list, s.aged(r)) // the peer answers with a newer one
	}
	s.sendRecords(l, list)
	if list := s.suspects.all(); len(list) > 0 {
		l.Send(&peer.Message{Suspects: &peer.Suspects{List: list}})
	}
}

// aged returns a record with its age of now.
func (s *spreadController) aged(r *record) peer.MemberRecord {
	out := r.MemberRecord
	out.AgeMs = peer.AgeMs(r.age(s.now))
	return out
}

func (s *spreadController) passRecords() {
	for _, n := range s.board.members.Get().news {
		s.waiting[n.record.VM] = &waitingRecord{record: n.record, from: []string{n.from}}
	}
	if len(s.waiting) == 0 {
		return
	}
	if wait := s.passedAt + passGap - s.now; wait > 0 && !s.stopping() {
		s.passLater(wait)
		return
	}
	for vm, l := range s.peers.links {
		var out []peer.MemberRecord
		for _, w := range s.waiting {
			if !slices.Contains(w.from, vm) {
				out = append(out, w.record)
			}
		}
		s.sendRecords(l, out)
	}
	s.waiting, s.passedAt, s.later = make(map[string]*waitingRecord), s.now, false
}

// passLater has the thread run again when the gap is over.
func (s *spreadController) passLater(gap time.Duration) {
	if s.later {
		return
	}
	s.later = true
	s.goDo(func() {
		if wait.For(s.ctx, gap) {
			s.post(tick{})
		}
	})
}

// stopping says that this node has word of itself to pass on that can't wait.
func (s *spreadController) stopping() bool {
	return s.membership.records[s.Settings.VM].State != peer.Live
}

// heard notes that a peer told a record that waits to be passed on, so that it
// need not be told.
func (s *spreadController) heard(vm, from string) {
	if w := s.waiting[vm]; w != nil {
		w.from = append(w.from, from)
	}
}

func (s *spreadController) sendRecords(l *link, list []peer.MemberRecord) {
	for len(list) > 0 {
		n := min(len(list), peer.MaxMemberRecords)
		l.Send(&peer.Message{MemberRecords: &peer.MemberRecords{List: list[:n]}})
		list = list[n:]
	}
}

func (s *spreadController) passSuspects() {
	list := s.board.suspects.Get().news
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

// firstCompare returns the time of the first comparison on a new link. A node
// that has just started knows no records and asks at once; others leave it to it.
func (s *spreadController) firstCompare() time.Duration {
	if s.now-s.started < youth {
		return s.now
	}
	return s.now + compareFirst
}

// compare begins to find the records that differ, if some do for a while.
func (s *spreadController) compare(l *link) {
	if !l.told {
		return
	}
	if l.digest == s.digest() {
		l.compareAt, l.compareGap = s.now+compareFirst, compareFirst
		return
	}
	if s.now < l.compareAt || s.now-s.comparedAt < compareGap {
		return
	}
	s.comparedAt = s.now
	l.compareAt = s.now + l.compareGap
	l.compareGap = min(2*l.compareGap, compareMax)
	l.Send(&peer.Message{BucketDigests: &peer.BucketDigests{Digests: s.board.members.Get().digests}})
}

// answer sends the records of the buckets that differ, and asks for the peer's.
func (s *spreadController) answer(l *link, c *peer.BucketDigests) {
	own := s.board.members.Get().digests
	var list []peer.MemberRecord
	for vm, r := range s.membership.records {
		if b := bucketOf(vm); own[b] != c.Digests[b] {
			list = append(list, s.aged(r))
		}
	}
	s.sendRecords(l, list)
	if !c.RecordsSent {
		l.Send(&peer.Message{BucketDigests: &peer.BucketDigests{Digests: own, RecordsSent: true}})
	}
}

// serve sends the document in force that a peer asks for: as the difference to
// the peer's state where that is known, else whole.
func (s *spreadController) serve(l *link, p *peer.Pull) {
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
		if l.served[k] != 0 && s.now-l.served[k] < serveWholeGap {
			return // the peer asks again after its timeout
		}
		l.served[k] = s.now
	}
	for _, part := range cut(delta.Diff(base, state.document)) {
		part.Document, part.Revision = p.Document, state.version.Revision
		l.Send(&peer.Message{Part: part})
	}
}

// cut makes parts of a delta that fit into messages.
func cut(d *delta.Delta) []*peer.Part {
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

package control

import (
	"time"

	"github.com/galenacart/galenacart/decision/adoption"
	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer/delta"
)

// historyLength is the number of earlier states kept as bases of deltas.
const historyLength = 4

// recentRead is the age up to which a read by a peer counts as an answer of the
// platform: readers have a watch open all the time.
const recentRead = readers.WatchWait + 2*time.Second

// adoptionController takes documents into force.
type adoptionController struct {
	*thread
	out       *blackboard.Writer[documents]
	seen      [2]uint64 // versions of the two entries with offers
	candidate *offer    // the newest catalogue heard of before the first is in force
	epoch     uint64
	warned    bool
	asking    bool          // there is somebody to ask
	askedAt   time.Duration // since when
	listed    bool          // the list of VMs to ask is known
}

func newAdoptionController(t *thread) *adoptionController {
	return &adoptionController{thread: t, out: t.board.documents.Claim("adoption controller")}
}

func (a *adoptionController) run() {
	if life := a.board.life.Get(); life.epoch != a.epoch {
		a.epoch, a.warned, a.asking, a.listed = life.epoch, false, false, false
		state := a.board.documents.Get()
		state.confirmed, state.opening = false, adoption.GateWait
		a.out.Set(state)
	}
	a.take(a.board.platformOffers, 0)
	a.take(a.board.peerOffers, 1)
	a.noteConflicts()
	a.open()
}

// take judges the offers of an entry that changed.
func (a *adoptionController) take(from *blackboard.Entry[offers], at int) {
	if a.seen[at] == from.Version() {
		return
	}
	a.seen[at] = from.Version()
	for _, o := range from.Get() {
		if o != nil {
			a.judge(o)
		}
	}
}

// best returns the version against which offers are judged.
func (a *adoptionController) best(k key) adoption.Version {
	if k == keyCatalogue && a.candidate != nil {
		return a.candidate.version
	}
	return a.board.documents.Get().byKey[k].version
}

func (a *adoptionController) judge(o *offer) {
	if o.document == nil && o.fault == nil {
		a.judgeRevision(o)
		return
	}
	verdict := adoption.Decide(a.best(o.key), o.version)
	switch {
	case verdict == adoption.Same:
		return
	case verdict == adoption.Adopt && o.fault != nil:
		a.refuse(o, "invalid: "+o.fault.Error())
	case verdict == adoption.Adopt && a.gated(o.key):
		a.setCandidate(o)
	case verdict == adoption.Adopt:
		a.adopt(o)
	case a.peerWins(verdict, o):
		a.setCandidate(o)
	case verdict == adoption.Conflict && o.fault != nil:
		// Another reading of a state that was refused before.
	default:
		a.refuse(o, verdict.String()+" than the state in force")
	}
}

// judgeRevision takes an offer that names a revision without its content: the
// platform has nothing newer than what it told before.
func (a *adoptionController) judgeRevision(o *offer) {
	state := a.board.documents.Get()
	inForce := state.byKey[o.key].version.Revision
	last := state.byKey[o.key].refused
	switch {
	case o.version.Revision < inForce:
		a.refuse(o, "older than the state in force")
	case last != nil && last.source == sourcePlatform && last.version.Revision < inForce:
		state.byKey[o.key].refused = nil // the platform has caught up
		a.out.Set(state)
	}
}

// gated says that a catalogue has to wait for the gate. A VM list has not: the
// node needs it to find its peers.
func (a *adoptionController) gated(k key) bool {
	return k == keyCatalogue && a.board.documents.Get().byKey[k].document == nil
}

// peerWins prefers, before anything is in force, what the fleet has in force to
// other content that the platform gives under the same revision.
func (a *adoptionController) peerWins(verdict adoption.Verdict, o *offer) bool {
	return verdict == adoption.Conflict && o.fault == nil && o.source != sourcePlatform &&
		a.candidate != nil && a.candidate.source == sourcePlatform
}

func (a *adoptionController) setCandidate(o *offer) {
	a.candidate = o
	state := a.board.documents.Get()
	state.byKey[o.key].candidate = o
	a.out.Set(state)
}

func (a *adoptionController) adopt(o *offer) {
	state := a.board.documents.Get()
	old := state.byKey[o.key]
	next := document{version: o.version, document: o.document, index: o.index, list: o.list, refused: old.refused}
	if next.refused != nil && next.refused.version.Revision <= o.version.Revision {
		next.refused = nil
	}
	if old.document != nil {
		next.history = append([]*delta.Document{old.document}, old.history...)
		next.history = next.history[:min(len(next.history), historyLength)]
	}
	state.byKey[o.key] = next
	a.out.Set(state)
	if o.key == keyCatalogue {
		a.Log.Emit(event.CatalogueInForce, "", event.F("revision", o.version.Revision),
			event.F("content", hashText(o.version.Hash)), event.F("source", o.source))
	}
}

// refuse notes an offered state that is not taken. Each is logged once.
func (a *adoptionController) refuse(o *offer, reason string) {
	state := a.board.documents.Get()
	last := state.byKey[o.key].refused
	if last != nil && last.version == o.version && last.source == o.source {
		return
	}
	state.byKey[o.key].refused = &refusal{version: o.version, source: o.source, reason: reason}
	a.out.Set(state)
	a.Log.Emit(event.DocumentRefused, "", event.F("key", o.key.String()), event.F("revision", o.version.Revision),
		event.F("inForce", a.best(o.key).Revision), event.F("source", o.source), event.F("reason", reason))
}

// noteConflicts refuses what peers have in force under the same revision.
func (a *adoptionController) noteConflicts() {
	for k, o := range a.board.peers.Get().conflicts {
		if o != nil && adoption.Decide(a.best(key(k)), o.version) == adoption.Conflict && !a.gated(key(k)) {
			a.refuse(o, "conflict: a peer has other content in force under this revision")
		}
	}
}

// open lets the first catalogue into force once platform and peers were asked.
// After a late wake-up it confirms the one in force in the same way.
func (a *adoptionController) open() {
	state := a.board.documents.Get()
	if state.confirmed {
		return
	}
	opening := adoption.DecideGate(a.knowledge())
	if opening == adoption.GateWait {
		a.warnNothing()
		return
	}
	if a.candidate != nil {
		a.adopt(a.candidate)
		a.candidate = nil
	}
	state = a.board.documents.Get()
	state.byKey[keyCatalogue].candidate = nil
	state.confirmed, state.opening = true, opening
	a.out.Set(state)
	a.Log.Emit(event.FirstCatalogue, "", event.F("revision", state.byKey[keyCatalogue].version.Revision),
		event.F("opening", opening.String()), event.F("peers", a.board.peers.Get().answered))
}

// waited returns the time since the node could begin to ask: since it has the
// list of VMs, or, without a list, since it has a catalogue.
func (a *adoptionController) waited() time.Duration {
	documents := a.board.documents.Get()
	listed := documents.byKey[keyVMs].document != nil
	known := listed || a.candidate != nil || documents.byKey[keyCatalogue].document != nil
	if known && (!a.asking || listed && !a.listed) {
		a.asking, a.listed, a.askedAt = true, listed, a.now
	}
	if !a.asking {
		return 0
	}
	return a.now - a.askedAt
}

func (a *adoptionController) knowledge() adoption.StartState {
	life := a.board.life.Get()
	heard := a.board.peers.Get()
	read := a.board.contact.Get().read[keyCatalogue].newer(a.board.peerReads.Get()[keyCatalogue])
	k := adoption.StartState{
		Waited:           a.waited(),
		PlatformAnswered: read.known && read.at >= life.since-recentRead,
		PeersKnown:       -1,
		PeersAnswered:    heard.answered,
		NewerPending:     heard.newer,
		HasCandidate:     a.candidate != nil || a.board.documents.Get().byKey[keyCatalogue].document != nil,
	}
	if fleet := a.board.members.Get(); fleet.fleet > 0 {
		k.PeersKnown = fleet.others
	}
	return k
}

// warnNothing logs once that the node has found no catalogue.
func (a *adoptionController) warnNothing() {
	if a.warned || a.now-a.board.life.Get().since < 2*adoption.StartTimeout {
		return
	}
	a.warned = true
	state := a.board.contact.Get()
	a.Log.Emit(event.NoCatalogueFound, "", event.F("platformFailing", state.failing),
		event.F("platformReason", state.reason.String()), event.F("peers", a.board.peers.Get().answered))
}

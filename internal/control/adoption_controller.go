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
// platform. Readers always have a watch open, so their reads are rarely older.
const recentRead = readers.WatchWait + 2*time.Second

// adoptionController decides which states of the documents are in force.
type adoptionController struct {
	*thread
	writer       *blackboard.Writer[documents]
	seenVersions [2]uint64 // versions of the two entries with offers
	candidate    *offer    // the newest catalogue received before the first is in force
	epoch        uint64
	warned       bool
	waiting      bool          // the wait for answers has begun
	waitStart    time.Duration // when it began
	listKnown    bool          // it began with a known VM list
}

func newAdoptionController(t *thread) *adoptionController {
	return &adoptionController{thread: t, writer: t.board.documents.Claim("adoption controller")}
}

func (a *adoptionController) run() {
	if process := a.board.process.Get(); process.epoch != a.epoch {
		a.epoch, a.warned, a.waiting, a.listKnown = process.epoch, false, false, false
		state := a.board.documents.Get()
		state.confirmed, state.gateDecision = false, adoption.GateWait
		a.writer.Set(state)
	}
	a.evaluateOffers(a.board.platformOffers, 0)
	a.evaluateOffers(a.board.peerOffers, 1)
	a.refuseConflicts()
	a.decideGate()
}

// evaluateOffers evaluates the offers of an entry that changed.
func (a *adoptionController) evaluateOffers(from *blackboard.Entry[offers], index int) {
	if a.seenVersions[index] == from.Version() {
		return
	}
	a.seenVersions[index] = from.Version()
	for _, o := range from.Get() {
		if o != nil {
			a.evaluate(o)
		}
	}
}

// baseline returns the version with which offers are compared.
func (a *adoptionController) baseline(k key) adoption.Version {
	if k == keyCatalogue && a.candidate != nil {
		return a.candidate.version
	}
	return a.board.documents.Get().byKey[k].version
}

func (a *adoptionController) evaluate(o *offer) {
	if o.document == nil && o.fault == nil {
		a.evaluateRevision(o)
		return
	}
	verdict := adoption.Decide(a.baseline(o.key), o.version)
	switch {
	case verdict == adoption.Same:
		return
	case verdict == adoption.Adopt && o.fault != nil:
		a.refuse(o, "invalid: "+o.fault.Error())
	case verdict == adoption.Adopt && a.needsGate(o.key):
		a.setCandidate(o)
	case verdict == adoption.Adopt:
		a.adopt(o)
	case a.prefersPeer(verdict, o):
		a.refuse(a.candidate, verdict.String()+" with the state that a peer has in force")
		a.setCandidate(o)
	case verdict == adoption.Conflict && o.fault != nil:
		// A repeated read of a state that was refused before.
	default:
		a.refuse(o, verdict.String()+" than the state in force")
	}
}

// evaluateRevision handles an offer that has a revision without content: the
// platform has nothing newer than its previous answer.
func (a *adoptionController) evaluateRevision(o *offer) {
	state := a.board.documents.Get()
	inForce := state.byKey[o.key].version.Revision
	last := state.byKey[o.key].lastRefusal
	switch {
	case o.version.Revision < inForce:
		a.refuse(o, "older than the state in force")
	case last != nil && last.source == sourcePlatform && last.version.Revision < inForce:
		state.byKey[o.key].lastRefusal = nil // the platform has caught up
		a.writer.Set(state)
	}
}

// needsGate reports whether a document has to wait for the start gate. Only the
// first catalogue has to: the node needs the VM list to find its peers.
func (a *adoptionController) needsGate(k key) bool {
	return k == keyCatalogue && a.board.documents.Get().byKey[k].document == nil
}

// prefersPeer reports whether a peer's offer replaces a candidate of the platform
// that has the same revision and other content. Before anything is in force, the
// content that the fleet has in force takes precedence.
func (a *adoptionController) prefersPeer(verdict adoption.Verdict, o *offer) bool {
	return verdict == adoption.Conflict && o.fault == nil && o.source != sourcePlatform &&
		a.candidate != nil && a.candidate.source == sourcePlatform
}

func (a *adoptionController) setCandidate(o *offer) {
	a.candidate = o
	state := a.board.documents.Get()
	state.byKey[o.key].candidate = o
	a.writer.Set(state)
}

func (a *adoptionController) adopt(o *offer) {
	state := a.board.documents.Get()
	old := state.byKey[o.key]
	next := document{version: o.version, document: o.document, index: o.index, list: o.list, lastRefusal: old.lastRefusal}
	if next.lastRefusal != nil && next.lastRefusal.isObsolete(o.version) {
		next.lastRefusal = nil
	}
	if old.document != nil {
		next.history = append([]*delta.Document{old.document}, old.history...)
		next.history = next.history[:min(len(next.history), historyLength)]
	}
	state.byKey[o.key] = next
	a.writer.Set(state)
	if o.key == keyCatalogue {
		a.Log.Emit(event.CatalogueInForce, "", event.F("revision", o.version.Revision),
			event.F("content", hashText(o.version.Hash)), event.F("source", o.source))
	}
}

// refuse records an offered state that is not adopted. Each is logged once.
func (a *adoptionController) refuse(o *offer, reason string) {
	state := a.board.documents.Get()
	last := state.byKey[o.key].lastRefusal
	if last != nil && last.version == o.version && last.source == o.source {
		return
	}
	state.byKey[o.key].lastRefusal = &refusal{version: o.version, source: o.source, reason: reason}
	a.writer.Set(state)
	a.Log.Emit(event.DocumentRefused, "", event.F("key", o.key.String()), event.F("revision", o.version.Revision),
		event.F("inForce", a.baseline(o.key).Revision), event.F("source", o.source), event.F("reason", reason))
}

// refuseConflicts refuses states of peers that conflict with the one in force.
func (a *adoptionController) refuseConflicts() {
	for k, o := range a.board.peers.Get().conflicts {
		if o != nil && adoption.Decide(a.baseline(key(k)), o.version) == adoption.Conflict && !a.needsGate(key(k)) {
			a.refuse(o, "conflict: a peer has other content in force under this revision")
		}
	}
}

// decideGate adopts the first catalogue once platform and peers have answered or
// the wait has timed out. After a late wake-up it confirms the catalogue in force
// in the same way.
func (a *adoptionController) decideGate() {
	state := a.board.documents.Get()
	if state.confirmed {
		return
	}
	gateDecision := adoption.DecideGate(a.startState())
	if gateDecision == adoption.GateWait {
		a.warnNoCatalogue()
		return
	}
	if a.candidate != nil {
		a.adopt(a.candidate)
		a.candidate = nil
	}
	state = a.board.documents.Get()
	state.byKey[keyCatalogue].candidate = nil
	state.confirmed, state.gateDecision = true, gateDecision
	a.writer.Set(state)
	a.Log.Emit(event.FirstCatalogue, "", event.F("revision", state.byKey[keyCatalogue].version.Revision),
		event.F("opening", gateDecision.String()), event.F("peers", a.board.peers.Get().answered))
}

// waitTime returns the time for which the node has waited for answers: since it
// has the VM list, or, without a list, since it has a catalogue.
func (a *adoptionController) waitTime() time.Duration {
	documents := a.board.documents.Get()
	listKnown := documents.byKey[keyVMs].document != nil
	canAsk := listKnown || a.candidate != nil || documents.byKey[keyCatalogue].document != nil
	if canAsk && (!a.waiting || listKnown && !a.listKnown) {
		a.waiting, a.listKnown, a.waitStart = true, listKnown, a.now
	}
	if !a.waiting {
		return 0
	}
	return a.now - a.waitStart
}

func (a *adoptionController) startState() adoption.StartState {
	process := a.board.process.Get()
	peerState := a.board.peers.Get()
	lastRead := a.board.platformState.Get().lastRead[keyCatalogue].newer(a.board.peerReads.Get()[keyCatalogue])
	k := adoption.StartState{
		Waited:           a.waitTime(),
		PlatformAnswered: lastRead.known && lastRead.at >= process.since-recentRead,
		PeersKnown:       -1,
		PeersAnswered:    peerState.answered,
		NewerPending:     peerState.newer,
		HasCandidate:     a.candidate != nil || a.board.documents.Get().byKey[keyCatalogue].document != nil,
	}
	if fleet := a.board.members.Get(); fleet.fleet > 0 {
		k.PeersKnown = fleet.otherCount
	}
	return k
}

// warnNoCatalogue logs once per epoch that the node has found no catalogue.
func (a *adoptionController) warnNoCatalogue() {
	if a.warned || a.now-a.board.process.Get().since < 2*adoption.StartTimeout {
		return
	}
	a.warned = true
	state := a.board.platformState.Get()
	a.Log.Emit(event.NoCatalogueFound, "", event.F("platformFailing", state.failing),
		event.F("platformReason", state.reason.String()), event.F("peers", a.board.peers.Get().answered))
}

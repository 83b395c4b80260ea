package control

import (
	"time"

	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
)

const (
	// suspectLifetime is the time after which a suspect without a new crash expires.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the fingerprints, maxInstances the instances of each.
	maxSuspects  = peer.MaxSuspects
	maxInstances = 8
	// expireInterval is the time between two checks for expired suspects.
	expireInterval = 5 * time.Second
)

// instance is one run of the node of a VM, whose endpoint crashed.
type instance struct {
	vm          string
	incarnation uint64
}

// crashCount counts the crashes of one instance's endpoint by one request.
type crashCount struct {
	count  uint16
	lastAt time.Duration // the last one
}

// suspectController tracks the requests that crashed endpoints. Counts are kept
// by instance and merged by their maximum, so that a crash that is reported over
// several peers counts once.
type suspectController struct {
	*thread
	writer        *blackboard.Writer[suspects]
	byFingerprint map[uint64]map[instance]crashCount
	localCrashes  map[uint64]uint16 // crashes of the local endpoint
	expiredAt     time.Duration
}

func newSuspectController(t *thread) *suspectController {
	return &suspectController{
		thread:        t,
		writer:        t.board.suspects.Claim("suspect controller"),
		byFingerprint: make(map[uint64]map[instance]crashCount),
		localCrashes:  make(map[uint64]uint16),
	}
}

// observe records a report of traffic. Each crash of the local endpoint counts. A
// crash of a remote endpoint counts once per instance; the remote node counts
// further ones.
func (s *suspectController) observe(r fleetview.Report) {
	if r.Kind != fleetview.ReportEndpointCrashed {
		return
	}
	one := peer.Suspect{Fingerprint: r.Fingerprint, VM: r.VM, Count: 1}
	if r.VM == "" || r.VM == s.Settings.VM {
		s.localCrashes[r.Fingerprint]++
		one.VM, one.Incarnation, one.Count = s.Settings.VM, s.Incarnation, s.localCrashes[r.Fingerprint]
	} else if m := s.board.members.Get().byVM[r.VM]; m != nil && m.identity.Incarnation != 0 {
		one.Incarnation = m.identity.Incarnation
	} else {
		return // the VM's own node reports the crash
	}
	s.mergeSuspects([]peer.Suspect{one}, s.Settings.VM)
}

// mergeSuspects merges suspects that a peer sent.
func (s *suspectController) mergeSuspects(list []peer.Suspect, from string) {
	var newUpdates []suspectUpdate
	for _, one := range list {
		if s.mergeSuspect(one) {
			newUpdates = append(newUpdates, suspectUpdate{suspect: one, from: from})
		}
	}
	if len(newUpdates) == 0 {
		return
	}
	s.publish(newUpdates...)
	for _, n := range newUpdates {
		s.Log.Emit(event.SuspectIdentified, "", event.F("fingerprint", n.suspect.Fingerprint), event.F("member", n.suspect.VM),
			event.F("lost", s.board.suspects.Get().endpointsLost[n.suspect.Fingerprint]), event.F("source", from))
	}
}

// mergeSuspect keeps the greatest count of each instance, and reports whether this
// one is greater than the known one.
func (s *suspectController) mergeSuspect(one peer.Suspect) bool {
	age, known := peer.Age(one.AgeMs)
	source := instance{vm: one.VM, incarnation: one.Incarnation}
	byInstance := s.byFingerprint[one.Fingerprint]
	old, seen := byInstance[source]
	switch {
	case !known || age >= suspectLifetime || one.Count <= old.count:
		return false
	case !seen && len(byInstance) >= maxInstances:
		return false
	}
	if byInstance == nil {
		s.evictOldest()
		byInstance = make(map[instance]crashCount)
		s.byFingerprint[one.Fingerprint] = byInstance
	}
	byInstance[source] = crashCount{count: one.Count, lastAt: s.now - age}
	return true
}

// clearUpdates removes the suspects that were handed on in the last run.
func (s *suspectController) clearUpdates() {
	if state := s.board.suspects.Get(); len(state.updates) > 0 {
		state.updates = nil
		s.writer.Set(state)
	}
}

// evictOldest removes the fingerprint whose last crash is the oldest, if there is
// no space for another.
func (s *suspectController) evictOldest() {
	if len(s.byFingerprint) < maxSuspects {
		return
	}
	var oldest uint64
	oldestAt := time.Duration(1<<63 - 1)
	for fingerprint, byInstance := range s.byFingerprint {
		if at := lastCrash(byInstance); at < oldestAt {
			oldest, oldestAt = fingerprint, at
		}
	}
	s.remove(oldest)
}

func (s *suspectController) remove(fingerprint uint64) {
	delete(s.byFingerprint, fingerprint)
	delete(s.localCrashes, fingerprint)
}

func lastCrash(byInstance map[instance]crashCount) time.Duration {
	last := time.Duration(-1 << 62)
	for _, c := range byInstance {
		last = max(last, c.lastAt)
	}
	return last
}

// run removes expired suspects.
func (s *suspectController) run() {
	if s.now-s.expiredAt < expireInterval {
		return
	}
	s.expiredAt = s.now
	before := len(s.byFingerprint)
	for fingerprint, byInstance := range s.byFingerprint {
		if s.now-lastCrash(byInstance) >= suspectLifetime {
			s.remove(fingerprint)
		}
	}
	if len(s.byFingerprint) != before {
		s.publish()
	}
}

// publish writes the counts and the updates to the board.
func (s *suspectController) publish(newUpdates ...suspectUpdate) {
	state := s.board.suspects.Get()
	state.updates = append(state.updates, newUpdates...)
	state.endpointsLost = make(map[uint64]int, len(s.byFingerprint))
	for fingerprint, byInstance := range s.byFingerprint {
		for _, c := range byInstance {
			state.endpointsLost[fingerprint] += int(c.count)
		}
	}
	s.writer.Set(state)
}

// activeSuspects returns the suspects for a new link, at most as many as fit into
// a message.
func (s *suspectController) activeSuspects() []peer.Suspect {
	var list []peer.Suspect
	for fingerprint, byInstance := range s.byFingerprint {
		for v, c := range byInstance {
			if len(list) == peer.MaxSuspects {
				return list
			}
			list = append(list, peer.Suspect{
				Fingerprint: fingerprint, VM: v.vm, Incarnation: v.incarnation, Count: c.count, AgeMs: peer.AgeMs(s.now - c.lastAt),
			})
		}
	}
	return list
}

package control

import (
	"time"

	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
)

const (
	// suspectLifetime is the time for which a crash is remembered.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the fingerprints, maxVictims the victims of each.
	maxSuspects = peer.MaxSuspects
	maxVictims  = 8
	// expireInterval is the time between two looks for what expired.
	expireInterval = 5 * time.Second
)

// victim is a VM during one run of its node.
type victim struct {
	vm          string
	incarnation uint64
}

// crashes counts the crashes of one victim's endpoint by one request.
type crashes struct {
	count uint16
	at    time.Duration // the last one
}

// suspectController knows the requests that crashed endpoints. Counts are kept
// by victim, and of two counts the greater one holds, so that the same crash
// told on several ways counts once.
type suspectController struct {
	*thread
	out           *blackboard.Writer[suspects]
	byFingerprint map[uint64]map[victim]crashes
	own           map[uint64]uint16 // crashes of the local endpoint
	swept         time.Duration
}

func newSuspectController(t *thread) *suspectController {
	return &suspectController{
		thread:        t,
		out:           t.board.suspects.Claim("suspect controller"),
		byFingerprint: make(map[uint64]map[victim]crashes),
		own:           make(map[uint64]uint16),
	}
}

// observe takes a report of traffic. Each crash of the local endpoint counts; a
// crash elsewhere counts once for each run of that VM's node, which counts on.
func (s *suspectController) observe(r fleetview.Report) {
	if r.Kind != fleetview.ReportEndpointCrashed {
		return
	}
	one := peer.Suspect{Fingerprint: r.Fingerprint, VM: r.VM, Count: 1}
	if r.VM == "" || r.VM == s.Settings.VM {
		s.own[r.Fingerprint]++
		one.VM, one.Incarnation, one.Count = s.Settings.VM, s.Incarnation, s.own[r.Fingerprint]
	} else if m := s.board.members.Get().byVM[r.VM]; m != nil && m.identity.Incarnation != 0 {
		one.Incarnation = m.identity.Incarnation
	} else {
		return // the VM's own node tells
	}
	s.learn([]peer.Suspect{one}, s.Settings.VM)
}

// learn takes suspects that a peer told.
func (s *suspectController) learn(list []peer.Suspect, from string) {
	var more []suspectNews
	for _, one := range list {
		if s.merge(one) {
			more = append(more, suspectNews{suspect: one, from: from})
		}
	}
	if len(more) == 0 {
		return
	}
	s.publish(more...)
	for _, n := range more {
		s.Log.Emit(event.SuspectIdentified, "", event.F("fingerprint", n.suspect.Fingerprint), event.F("member", n.suspect.VM),
			event.F("lost", s.board.suspects.Get().lost[n.suspect.Fingerprint]), event.F("source", from))
	}
}

// merge keeps the greatest count of each VM, and reports whether one was new.
func (s *suspectController) merge(one peer.Suspect) bool {
	age, known := peer.Age(one.AgeMs)
	by := victim{vm: one.VM, incarnation: one.Incarnation}
	byVictim := s.byFingerprint[one.Fingerprint]
	old, seen := byVictim[by]
	switch {
	case !known || age >= suspectLifetime || one.Count <= old.count:
		return false
	case !seen && len(byVictim) >= maxVictims:
		return false
	}
	if byVictim == nil {
		s.makeRoom()
		byVictim = make(map[victim]crashes)
		s.byFingerprint[one.Fingerprint] = byVictim
	}
	byVictim[by] = crashes{count: one.Count, at: s.now - age}
	return true
}

// clearNews ends the round in which suspects were passed on.
func (s *suspectController) clearNews() {
	if state := s.board.suspects.Get(); len(state.news) > 0 {
		state.news = nil
		s.out.Set(state)
	}
}

// makeRoom forgets the fingerprint whose last crash is the oldest.
func (s *suspectController) makeRoom() {
	if len(s.byFingerprint) < maxSuspects {
		return
	}
	var oldest uint64
	oldestAt := time.Duration(1<<63 - 1)
	for fingerprint, byVictim := range s.byFingerprint {
		if at := lastCrash(byVictim); at < oldestAt {
			oldest, oldestAt = fingerprint, at
		}
	}
	s.forget(oldest)
}

func (s *suspectController) forget(fingerprint uint64) {
	delete(s.byFingerprint, fingerprint)
	delete(s.own, fingerprint)
}

func lastCrash(byVictim map[victim]crashes) time.Duration {
	last := time.Duration(-1 << 62)
	for _, c := range byVictim {
		last = max(last, c.at)
	}
	return last
}

// run lets suspects expire.
func (s *suspectController) run() {
	if s.now-s.swept < expireInterval {
		return
	}
	s.swept = s.now
	before := len(s.byFingerprint)
	for fingerprint, byVictim := range s.byFingerprint {
		if s.now-lastCrash(byVictim) >= suspectLifetime {
			s.forget(fingerprint)
		}
	}
	if len(s.byFingerprint) != before {
		s.publish()
	}
}

// publish writes the counts and what is to be passed on.
func (s *suspectController) publish(more ...suspectNews) {
	state := s.board.suspects.Get()
	state.news = append(state.news, more...)
	state.lost = make(map[uint64]int, len(s.byFingerprint))
	for fingerprint, byVictim := range s.byFingerprint {
		for _, c := range byVictim {
			state.lost[fingerprint] += int(c.count)
		}
	}
	s.out.Set(state)
}

// all returns the suspects for a peer that has just been linked.
func (s *suspectController) all() []peer.Suspect {
	var list []peer.Suspect
	for fingerprint, byVictim := range s.byFingerprint {
		for v, c := range byVictim {
			if len(list) == peer.MaxSuspects {
				return list
			}
			list = append(list, peer.Suspect{
				Fingerprint: fingerprint, VM: v.vm, Incarnation: v.incarnation, Count: c.count, AgeMs: peer.AgeMs(s.now - c.at),
			})
		}
	}
	return list
}

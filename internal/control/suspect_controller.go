package control

import (
	"time"

	"github.com/galenacart/galenacart/internal/blackboard"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/view"
)

const (
	// suspectLifetime is the time for which a crash is remembered.
	suspectLifetime = 10 * time.Minute
	// maxSuspects bounds the fingerprints, maxSuspectVMs the VMs of each.
	maxSuspects   = peer.MaxSuspects
	maxSuspectVMs = 8
	// expireInterval is the time between two looks for what expired.
	expireInterval = 5 * time.Second
)

// crashes counts the crashes of one VM's endpoint by one request.
type crashes struct {
	count uint16
	at    time.Duration // the last one
}

// suspectController knows the requests that crashed endpoints. Counts are kept
// by VM, so that the same crash told on several ways counts once.
type suspectController struct {
	*thread
	out     *blackboard.Writer[suspects]
	byPrint map[uint64]map[string]crashes
	swept   time.Duration
}

func newSuspectController(t *thread) *suspectController {
	return &suspectController{
		thread:  t,
		out:     t.board.suspects.Claim("suspect controller"),
		byPrint: make(map[uint64]map[string]crashes),
	}
}

// observe takes a report of traffic. Each crash of the local endpoint counts; a
// crash elsewhere counts in the words of that VM's own node.
func (s *suspectController) observe(r view.Report) {
	if r.Kind != view.ReportEndpointCrashed {
		return
	}
	vm, count := r.VM, uint16(1)
	if vm == "" || vm == s.Settings.VM {
		vm = s.Settings.VM
		count = s.byPrint[r.Fingerprint][vm].count + 1
	}
	s.learn([]peer.Suspect{{Fingerprint: r.Fingerprint, VM: vm, Count: count}}, s.Settings.VM)
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
		s.Log.Emit(event.SuspectKnown, "", event.F("fingerprint", n.suspect.Fingerprint), event.F("member", n.suspect.VM),
			event.F("lost", s.board.suspects.Get().lost[n.suspect.Fingerprint]), event.F("source", from))
	}
}

// merge keeps the greatest count of each VM, and reports whether one was new.
func (s *suspectController) merge(one peer.Suspect) bool {
	age, known := peer.Age(one.AgeMs)
	byVM := s.byPrint[one.Fingerprint]
	old, seen := byVM[one.VM]
	switch {
	case !known || age >= suspectLifetime || one.Count <= old.count:
		return false
	case !seen && len(byVM) >= maxSuspectVMs:
		return false
	}
	if byVM == nil {
		s.makeRoom()
		byVM = make(map[string]crashes)
		s.byPrint[one.Fingerprint] = byVM
	}
	byVM[one.VM] = crashes{count: one.Count, at: s.now - age}
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
	if len(s.byPrint) < maxSuspects {
		return
	}
	var oldest uint64
	oldestAt := time.Duration(1<<63 - 1)
	for print, byVM := range s.byPrint {
		if at := lastCrash(byVM); at < oldestAt {
			oldest, oldestAt = print, at
		}
	}
	delete(s.byPrint, oldest)
}

func lastCrash(byVM map[string]crashes) time.Duration {
	last := time.Duration(-1 << 62)
	for _, c := range byVM {
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
	before := len(s.byPrint)
	for print, byVM := range s.byPrint {
		if s.now-lastCrash(byVM) >= suspectLifetime {
			delete(s.byPrint, print)
		}
	}
	if len(s.byPrint) != before {
		s.publish()
	}
}

// publish writes the counts and what is to be passed on.
func (s *suspectController) publish(more ...suspectNews) {
	state := s.board.suspects.Get()
	state.news = append(state.news, more...)
	state.lost = make(map[uint64]int, len(s.byPrint))
	for print, byVM := range s.byPrint {
		for _, c := range byVM {
			state.lost[print] += int(c.count)
		}
	}
	s.out.Set(state)
}

// all returns the suspects for a peer that has just been linked.
func (s *suspectController) all() []peer.Suspect {
	var list []peer.Suspect
	for print, byVM := range s.byPrint {
		for vm, c := range byVM {
			if len(list) == peer.MaxSuspects {
				return list
			}
			list = append(list, peer.Suspect{Fingerprint: print, VM: vm, Count: c.count, AgeMs: peer.AgeMs(s.now - c.at)})
		}
	}
	return list
}

// Package placement picks the endpoint for a call by how full each one is. It
// answers endpoints of unequal speed: the one that is faster is less full, so it
// gets more. Its own availability zone is preferred while it has room, because
// bytes between zones are dear and zones may be cut off. It also answers chains that
// are slow in one zone: requests leave it before they miss their time.
package placement

import (
	"math"
	"time"
)

const (
	// farPenalty is the share of its slots by which an endpoint of another zone
	// has to be less full than one of the own zone.
	farPenalty = 0.6
	// fullFrom is the share of the slots, with the calls that wait, from which on
	// the own zone is no longer preferred. Around 1 the wait for a slot is short,
	// and a small endpoint is that full for moments at any usual load.
	fullFrom = 1.15
	// failPenalty is what an endpoint that fails every call counts as fuller.
	failPenalty = 3.0
	// slowFrom is how many times as long as the fastest an endpoint may take
	// before it counts as fuller. Unequal machines are no fault: they differ by up
	// to 2.4 times, and one that is nearly full takes another third.
	slowFrom = 3.3
	// lateFrom is the share of the time that is left for a call, from which on the
	// usual time of an endpoint counts against it: times vary by a half and more, so
	// some calls there miss their time.
	lateFrom = 0.5
	// latePenalty is what an endpoint counts as fuller that usually takes all of the
	// time beyond lateFrom.
	latePenalty = 2.0
	// limitBefore is taken for the slots of an endpoint that has told none.
	limitBefore = 16
	// failWeight is the weight of one call in the share of failed ones.
	failWeight = 1.0 / 16
	// failHalf is the time in which half of the failed share is gone without calls:
	// an endpoint that is avoided has no calls that show its recovery.
	failHalf = 10 * time.Second
	// asideBase and asideMax bound the time for which an endpoint that could not
	// be reached is left out.
	asideBase = 250 * time.Millisecond
	asideMax  = 2 * time.Second
)

// Candidate is an endpoint that may take a call.
type Candidate struct {
	// Near says that it stands in the own availability zone.
	Near bool
	// Barred says that the call must not go there.
	Barred bool
	// Slots is the published number of its slots, or 0.
	Slots int
	// Usual is the time that such a call usually takes there, or 0.
	Usual time.Duration
	// State is what is known of it; nil stands for nothing.
	State *State
}

// State is what a node knows of one endpoint. It is not safe for concurrent use.
type State struct {
	busy     int // told with the last reply
	limit    int // told with the last reply
	open     int // own calls without a reply
	openThen int // the same when the last reply came
	failed   float64
	failedAt time.Duration // of the last call's end
	misses   int
	until    time.Duration // left out until then
}

// Start counts a call that is sent.
func (s *State) Start() {
	s.open++
}

// End takes back a call. failed says that the endpoint broke it.
func (s *State) End(now time.Duration, failed bool) {
	s.open--
	value := 0.0
	if failed {
		value = 1
	}
	known := s.failedShare(now)
	s.failed = known + (value-known)*failWeight
	s.failedAt = now
}

// failedShare returns the share of failed calls as far as it is still known.
func (s *State) failedShare(now time.Duration) float64 {
	age := max(now-s.failedAt, 0)
	return s.failed * math.Exp2(-age.Seconds()/failHalf.Seconds())
}

// Told takes in what a reply said of the endpoint.
func (s *State) Told(busy, limit int) {
	s.busy, s.limit, s.openThen = busy, limit, s.open
	s.misses = 0
	s.until = 0
}

// Missed takes in that the endpoint could not be reached.
func (s *State) Missed(now time.Duration) {
	pause := min(asideBase<<min(s.misses, 8), asideMax)
	s.misses++
	s.until = now + pause
}

// Doubt leaves the endpoint out for a moment: its node is silent.
func (s *State) Doubt(now time.Duration) {
	s.until = max(s.until, now+asideBase)
}

// Idle reports whether no call to the endpoint is open.
func (s *State) Idle() bool {
	return s.open == 0
}

// Aside reports whether the endpoint is left out for now.
func (s *State) Aside(now time.Duration) bool {
	return now < s.until
}

// load returns the share of the slots that a further call would take.
func (c *Candidate) load() float64 {
	limit := c.Slots
	if limit == 0 {
		limit = limitBefore
	}
	if c.State == nil {
		return 1 / float64(limit)
	}
	if c.State.limit > 0 {
		limit = c.State.limit
	}
	busy := max(c.State.busy+c.State.open-c.State.openThen, c.State.open)
	return float64(busy+1) / float64(limit)
}

// Pick returns the index of the endpoint for a call with some time left, or -1.
// random breaks ties. An endpoint that is left out is taken only when there is no
// other.
func Pick(now, left time.Duration, candidates []Candidate, random uint64) int {
	if at := pick(now, left, candidates, random, false); at >= 0 {
		return at
	}
	return pick(now, left, candidates, random, true)
}

func pick(now, left time.Duration, candidates []Candidate, random uint64, aside bool) int {
	best, bestScore := -1, 0.0
	fastest := fastestOf(candidates)
	for i := range candidates {
		at := int((random + uint64(i)) % uint64(len(candidates)))
		c := &candidates[at]
		if c.Barred || !aside && c.State != nil && c.State.Aside(now) {
			continue
		}
		if score := c.score(now, left, fastest); best < 0 || score < bestScore {
			best, bestScore = at, score
		}
	}
	return best
}

// fastestOf returns the least time that a call takes at any of them, or 0.
func fastestOf(candidates []Candidate) time.Duration {
	fastest := time.Duration(0)
	for i := range candidates {
		if usual := candidates[i].Usual; usual > 0 && (fastest == 0 || usual < fastest) {
			fastest = usual
		}
	}
	return fastest
}

func (c *Candidate) score(now, left, fastest time.Duration) float64 {
	score := c.load()
	if slow := c.slowness(fastest); slow > 1 {
		score *= slow * slow
	} else if !c.Near && score < fullFrom {
		score = min(score+farPenalty, fullFrom)
	}
	if c.State != nil {
		score += failPenalty * c.State.failedShare(now)
	}
	return score + latePenalty*c.lateness(left)
}

// lateness returns how much of the time left the endpoint usually takes beyond
// what is safe, as a share: 1 for all of it.
func (c *Candidate) lateness(left time.Duration) float64 {
	if left <= 0 {
		return 0
	}
	taken := float64(c.Usual) / float64(left)
	return min(max(taken-lateFrom, 0)/(1-lateFrom), 1)
}

// slowness returns how much slower the endpoint is than unequal machines are.
func (c *Candidate) slowness(fastest time.Duration) float64 {
	if fastest == 0 {
		return 0
	}
	return float64(c.Usual) / (slowFrom * float64(fastest))
}

// Package placement picks the endpoint for a call by how full each one is. It
// answers endpoints of unequal speed: the one that is faster is less full, so it
// gets more. Its own availability zone is preferred while it has room, because
// bytes between zones are dear and zones may be cut off. It also answers machines and
// chains that are slow, and endpoints that lose answers, in one zone: requests leave it
// before too many miss their time or are lost.
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
	// lostPenalty is what an endpoint counts as fuller that loses the answers of all its
	// calls, or answers them too late: what ran there is of no use, and may not be
	// repeated. One call in thirteen is worth leaving the zone (farPenalty).
	lostPenalty = 8.0
	// failPenalty is the same for one that fails or refuses all of them: such failures are
	// often those of calls further down, which other endpoints meet as well.
	failPenalty = 3.0
	// slowFrom is how many times as long as the fastest an endpoint may take
	// before it counts as fuller. Unequal machines are no fault: they differ by up
	// to 2.4 times, and one that is nearly full takes another third.
	slowFrom = 3.3
	// missSteepness tells the share of calls that miss their time from the usual one:
	// exp(-missSteepness) of them where it is all of the time left. Times of calls
	// spread about as a log-normal distribution of sigma 0.5 to 0.8.
	missSteepness = 1.4
	// missPenalty is what an endpoint counts as fuller at which every call is expected to
	// miss its time: as much as if its answer were lost.
	missPenalty = lostPenalty
	// limitBefore is taken for the slots of an endpoint that has told none.
	limitBefore = 16
	// failWeight is the weight of one call in the penalty for failures.
	failWeight = 1.0 / 16
	// failHalf is the time in which half of that penalty is gone without calls:
	// an endpoint that is avoided has no calls that show its recovery.
	failHalf = 10 * time.Second
	// asideBase and asideMax bound the time for which an endpoint that could not
	// be reached is left out.
	asideBase = 250 * time.Millisecond
	asideMax  = 2 * time.Second
)

// Candidate is an endpoint that may take a call.
type Candidate struct {
	// SameZone says that it stands in the own availability zone.
	SameZone bool
	// Excluded says that the call must not go there.
	Excluded bool
	// Slots is the published number of its slots, or 0.
	Slots int
	// EstimatedDuration is the time that such a call usually takes there, or 0.
	EstimatedDuration time.Duration
	// State is what is known of it; nil stands for nothing.
	State *State
}

// State is what a node knows of one endpoint. It is not safe for concurrent use.
type State struct {
	busy     int           // told with the last reply
	limit    int           // told with the last reply
	open     int           // own calls without a reply
	openThen int           // the same when the last reply came
	failures float64       // mean penalty of the last calls
	failedAt time.Duration // of the last call's end
	misses   int
	until    time.Duration // left out until then
}

// StartCall counts a call that is sent.
func (s *State) StartCall() {
	s.open++
}

// Outcome is how a call to an endpoint ended.
type Outcome uint8

// The ends of a call.
const (
	// OutcomeSuccess means that the endpoint answered, or that it is not to blame.
	OutcomeSuccess Outcome = iota
	// OutcomeFailed means that the endpoint failed or refused the call.
	OutcomeFailed
	// OutcomeLost means that it may have run the call and gave no whole answer in time.
	OutcomeLost
)

func (e Outcome) penalty() float64 {
	switch e {
	case OutcomeFailed:
		return failPenalty
	case OutcomeLost:
		return lostPenalty
	default:
		return 0
	}
}

// EndCall takes back a call.
func (s *State) EndCall(now time.Duration, end Outcome) {
	s.open--
	known := s.penalty(now)
	s.failures = known + (end.penalty()-known)*failWeight
	s.failedAt = now
}

// penalty returns what failures count, as far as they are still known.
func (s *State) penalty(now time.Duration) float64 {
	age := max(now-s.failedAt, 0)
	return s.failures * math.Exp2(-age.Seconds()/failHalf.Seconds())
}

// RecordLoad takes in what a reply said of the endpoint.
func (s *State) RecordLoad(busy, limit int) {
	s.busy, s.limit, s.openThen = busy, limit, s.open
	s.misses = 0
	s.until = 0
}

// RecordUnreachable takes in that the endpoint could not be reached.
func (s *State) RecordUnreachable(now time.Duration) {
	pause := min(asideBase<<min(s.misses, 8), asideMax)
	s.misses++
	s.until = now + pause
}

// EjectBriefly leaves the endpoint out for a moment: its node is silent.
func (s *State) EjectBriefly(now time.Duration) {
	s.until = max(s.until, now+asideBase)
}

// Idle reports whether no call to the endpoint is open.
func (s *State) Idle() bool {
	return s.open == 0
}

// Ejected reports whether the endpoint is left out for now.
func (s *State) Ejected(now time.Duration) bool {
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
		if c.Excluded || !aside && c.State != nil && c.State.Ejected(now) {
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
		if usual := candidates[i].EstimatedDuration; usual > 0 && (fastest == 0 || usual < fastest) {
			fastest = usual
		}
	}
	return fastest
}

func (c *Candidate) score(now, left, fastest time.Duration) float64 {
	score := c.load()
	if slow := c.slowness(fastest); slow > 1 {
		score *= slow * slow
	} else if !c.SameZone && score < fullFrom {
		score = min(score+farPenalty, fullFrom)
	}
	if c.State != nil {
		score += c.State.penalty(now)
	}
	return score + missPenalty*c.missShare(left)
}

// missShare returns the share of calls that would take more than the time left, as
// far as the usual time tells.
func (c *Candidate) missShare(left time.Duration) float64 {
	if left <= 0 || c.EstimatedDuration <= 0 {
		return 0
	}
	return math.Exp(-missSteepness * float64(left) / float64(c.EstimatedDuration))
}

// slowness returns how much slower the endpoint is than unequal machines are.
func (c *Candidate) slowness(fastest time.Duration) float64 {
	if fastest == 0 {
		return 0
	}
	return float64(c.EstimatedDuration) / (slowFrom * float64(fastest))
}

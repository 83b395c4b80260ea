// Package placement selects the endpoint for a call by the load of each candidate.
// Faster endpoints have a lower load and therefore get more calls. The caller's own
// availability zone is preferred while it has capacity, because traffic between zones
// is expensive and zones may be partitioned. Calls also leave a zone whose machines or
// call chains are slow, or whose endpoints lose answers, before too many of them miss
// their deadline or are lost.
package placement

import (
	"math"
	"time"
)

const (
	// crossZonePenalty is how much lower the load of an endpoint in another zone must
	// be, as a share of its slots, to be preferred over one in the caller's zone.
	crossZonePenalty = 0.6
	// sameZoneLoadLimit is the load, with waiting calls included, from which on the
	// caller's zone is no longer preferred. Around 1 the wait for a slot is short, and
	// small endpoints reach that load briefly under normal traffic.
	sameZoneLoadLimit = 1.15
	// lostAnswerPenalty is added to the load of an endpoint that loses the answers of
	// all its calls or answers them too late: that work is wasted and may not be
	// repeatable. At one lost call in thirteen the penalty exceeds crossZonePenalty.
	lostAnswerPenalty = 8.0
	// failurePenalty is added to the load of an endpoint that fails or refuses all its
	// calls. It is lower because such failures often originate in downstream calls,
	// which affect other endpoints as well.
	failurePenalty = 3.0
	// slownessThreshold is the ratio to the shortest call duration of all candidates
	// above which the load of an endpoint is scaled up. Healthy machines differ by up
	// to 2.4 times, and calls on a nearly full one take another third.
	slownessThreshold = 3.3
	// deadlineMissDecay relates the estimated duration to the share of calls that miss
	// their deadline: it is exp(-deadlineMissDecay) when the estimate equals the
	// remaining time. Call durations are roughly log-normal with sigma 0.5 to 0.8.
	deadlineMissDecay = 1.4
	// deadlineMissPenalty is added to the load of an endpoint where every call is
	// expected to miss its deadline, as if its answer were lost.
	deadlineMissPenalty = lostAnswerPenalty
	// defaultLimit is the number of slots assumed for an endpoint that reported none.
	defaultLimit = 16
	// failureWeight is the weight of one call in the mean failure penalty.
	failureWeight = 1.0 / 16
	// failureHalfLife is the half-life of the mean penalty between calls. Without this
	// decay an avoided endpoint would get no calls that could show its recovery.
	failureHalfLife = 10 * time.Second
	// ejectBase and ejectMax bound the time for which an unreachable endpoint is
	// ejected.
	ejectBase = 250 * time.Millisecond
	ejectMax  = 2 * time.Second
	// probeInterval is the least time between two calls of a node that test whether an
	// endpoint still takes few calls, and fleetProbeInterval that between two such calls of
	// the whole fleet.
	probeInterval      = time.Second
	fleetProbeInterval = 50 * time.Millisecond
)

// Candidate is an endpoint that may take a call.
type Candidate struct {
	// SameZone reports whether the endpoint is in the caller's availability zone.
	SameZone bool
	// Excluded reports whether the call must not be sent to the endpoint.
	Excluded bool
	// Slots is the published number of slots, or 0 if unknown.
	Slots int
	// EstimatedDuration is the expected duration of the call at the endpoint, or 0 if
	// unknown.
	EstimatedDuration time.Duration
	// State is the locally tracked state of the endpoint, or nil if there is none.
	State *State
	// Probe makes the endpoint count as idle: its last report is too old to tell whether it
	// still takes few calls.
	Probe bool
}

// State tracks the load and failures of one endpoint as seen by a node. It is not safe
// for concurrent use.
type State struct {
	busy             int           // reported with the last reply
	limit            int           // reported with the last reply
	inFlight         int           // calls of this node without a reply
	inFlightAtReply  int           // inFlight at the time of the last reply
	meanPenalty      float64       // weighted mean over the last calls
	penaltyUpdatedAt time.Duration // end of the last call
	unreachableCount int
	ejectedUntil     time.Duration // end of the ejection
	reportedAt       time.Duration // of busy and limit, or start of the last probe
}

// StartCall records that a call is sent.
func (s *State) StartCall() {
	s.inFlight++
}

// Outcome is the result of a call as far as the endpoint is concerned.
type Outcome uint8

// The outcomes of a call.
const (
	// OutcomeSuccess means that the endpoint answered, or that the failure was not
	// caused by it.
	OutcomeSuccess Outcome = iota
	// OutcomeFailed means that the endpoint failed or refused the call.
	OutcomeFailed
	// OutcomeLost means that the endpoint may have run the call but returned no
	// complete answer in time.
	OutcomeLost
)

func (e Outcome) penalty() float64 {
	switch e {
	case OutcomeFailed:
		return failurePenalty
	case OutcomeLost:
		return lostAnswerPenalty
	default:
		return 0
	}
}

// EndCall records the outcome of a call.
func (s *State) EndCall(now time.Duration, outcome Outcome) {
	s.inFlight--
	previous := s.penalty(now)
	s.meanPenalty = previous + (outcome.penalty()-previous)*failureWeight
	s.penaltyUpdatedAt = now
}

// penalty returns the mean penalty, decayed by the time since the last call.
func (s *State) penalty(now time.Duration) float64 {
	age := max(now-s.penaltyUpdatedAt, 0)
	return s.meanPenalty * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}

// RecordLoad records the load that a reply reported and ends an ejection.
func (s *State) RecordLoad(now time.Duration, busy, limit int) {
	s.busy, s.limit, s.inFlightAtReply, s.reportedAt = busy, limit, s.inFlight, now
	s.unreachableCount = 0
	s.ejectedUntil = 0
}

// ProbeDue reports whether a call should test if the endpoint still takes far fewer calls at
// once than it has slots, as it reported: it may get none otherwise while others are less
// loaded. nodes is the size of the fleet.
func (s *State) ProbeDue(now time.Duration, slots, nodes int) bool {
	return 2*s.limit < slots && s.limit > 0 && now-s.reportedAt > max(probeInterval, time.Duration(nodes)*fleetProbeInterval)
}

// StartProbe records that a call is sent because a probe was due.
func (s *State) StartProbe(now time.Duration) {
	s.reportedAt = now
}

// RecordUnreachable ejects an endpoint that could not be reached, with exponential
// backoff.
func (s *State) RecordUnreachable(now time.Duration) {
	pause := min(ejectBase<<min(s.unreachableCount, 8), ejectMax)
	s.unreachableCount++
	s.ejectedUntil = now + pause
}

// EjectBriefly ejects the endpoint for ejectBase because its node does not respond.
func (s *State) EjectBriefly(now time.Duration) {
	s.ejectedUntil = max(s.ejectedUntil, now+ejectBase)
}

// Idle reports whether no call to the endpoint is in flight.
func (s *State) Idle() bool {
	return s.inFlight == 0
}

// Ejected reports whether the endpoint is currently ejected.
func (s *State) Ejected(now time.Duration) bool {
	return now < s.ejectedUntil
}

// load returns the share of the slots in use if one more call is sent.
func (c *Candidate) load() float64 {
	limit := c.Slots
	if limit == 0 {
		limit = defaultLimit
	}
	if c.State == nil || c.Probe {
		return 1 / float64(limit)
	}
	if c.State.limit > 0 {
		limit = c.State.limit
	}
	busy := max(c.State.busy+c.State.inFlight-c.State.inFlightAtReply, c.State.inFlight)
	return float64(busy+1) / float64(limit)
}

// Pick returns the index of the endpoint for a call with the given remaining time, or
// -1 if there is none. random breaks ties. Ejected endpoints are used only if there is
// no other.
func Pick(now, remaining time.Duration, candidates []Candidate, random uint64) int {
	if index := pick(now, remaining, candidates, random, false); index >= 0 {
		return index
	}
	return pick(now, remaining, candidates, random, true)
}

func pick(now, remaining time.Duration, candidates []Candidate, random uint64, includeEjected bool) int {
	best, bestScore := -1, 0.0
	fastest := shortestDuration(candidates)
	for i := range candidates {
		index := int((random + uint64(i)) % uint64(len(candidates)))
		c := &candidates[index]
		if c.Excluded || !includeEjected && c.State != nil && c.State.Ejected(now) {
			continue
		}
		if score := c.score(now, remaining, fastest); best < 0 || score < bestScore {
			best, bestScore = index, score
		}
	}
	return best
}

// shortestDuration returns the shortest estimated duration of all candidates, or 0 if
// none is known.
func shortestDuration(candidates []Candidate) time.Duration {
	fastest := time.Duration(0)
	for i := range candidates {
		if estimated := candidates[i].EstimatedDuration; estimated > 0 && (fastest == 0 || estimated < fastest) {
			fastest = estimated
		}
	}
	return fastest
}

func (c *Candidate) score(now, remaining, fastest time.Duration) float64 {
	score := c.load()
	if slow := c.slowness(fastest); slow > 1 {
		score *= slow * slow
	} else if !c.SameZone && score < sameZoneLoadLimit {
		score = min(score+crossZonePenalty, sameZoneLoadLimit)
	}
	if c.State != nil {
		score += c.State.penalty(now)
	}
	return score + deadlineMissPenalty*c.deadlineMissShare(remaining)
}

// deadlineMissShare returns the expected share of calls that take longer than the
// remaining time.
func (c *Candidate) deadlineMissShare(remaining time.Duration) float64 {
	if remaining <= 0 || c.EstimatedDuration <= 0 {
		return 0
	}
	return math.Exp(-deadlineMissDecay * float64(remaining) / float64(c.EstimatedDuration))
}

// slowness returns the ratio of the estimated duration to the slowest that is
// considered healthy.
func (c *Candidate) slowness(fastest time.Duration) float64 {
	if fastest == 0 {
		return 0
	}
	return float64(c.EstimatedDuration) / (slownessThreshold * float64(fastest))
}

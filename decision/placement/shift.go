package placement

import "time"

const (
	// shiftFrom is the number of calls between zones that a run in the own zone
	// makes beyond one elsewhere, from which on more runs go elsewhere. It is under
	// 1, the call that a run elsewhere costs: at a full endpoint one run more
	// displaces all of its calls, not only the share that crosses on average.
	shiftFrom = 0.3
	// riseRate and fallRate are the changes of the share in a second. The news of
	// what crosses takes about a second, in which the share must not overshoot.
	riseRate = 0.3
	fallRate = 0.15
	// riseFull is the excess at which the share rises at riseRate.
	riseFull = 1.0
	// shareMax leaves some runs in the own zone, which tell when it has room again.
	shareMax = 0.9
	// shiftStepMax bounds the time that one step accounts for.
	shiftStepMax = 200 * time.Millisecond
)

// Shift decides which share of the runs of a route begins in another
// availability zone. It answers zones of unequal speed under chains that are wide
// at the bottom: where the own zone's deepest endpoints are full, each run there
// makes many calls between zones, while a run that begins elsewhere makes one. It
// is not safe for concurrent use.
type Shift struct {
	share float64
	at    time.Duration
}

// Share returns the share of the runs that begin elsewhere.
func (s *Shift) Share() float64 {
	return s.share
}

// Turn takes in what the candidates for a call tell, and for a share of the calls
// makes Near stand for other zones: for their endpoints whose chains cross least.
// draw is a random number from 0 to 1.
func (s *Shift) Turn(now time.Duration, candidates []Candidate, draw float64) {
	near, far, ok := crossings(candidates)
	step := min(max(now-s.at, 0), shiftStepMax).Seconds()
	s.at = max(now, s.at)
	if !ok {
		s.share = 0
		return
	}
	if excess := near - far - shiftFrom; excess > 0 {
		s.share += riseRate * min(excess/riseFull, 1) * step
	} else {
		s.share -= fallRate * step
	}
	s.share = min(max(s.share, 0), shareMax)
	if draw >= s.share {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		c.Near = !c.Near && c.Crossings <= far+shiftFrom
	}
}

// crossings returns the mean of the own zone's endpoints and the least of the
// others. It returns false when one side has no endpoint to go to.
func crossings(candidates []Candidate) (near, far float64, ok bool) {
	nears, fars := 0, 0
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Barred:
		case c.Near:
			near += c.Crossings
			nears++
		default:
			if fars == 0 || c.Crossings < far {
				far = c.Crossings
			}
			fars++
		}
	}
	if nears == 0 || fars == 0 {
		return 0, 0, false
	}
	return near / float64(nears), far, true
}

package capacity

import "math"

const (
	// initialLimit is the most that is tried at first at an endpoint of which
	// nothing is known.
	initialLimit = 16
	// stepInitial is the first change of the logarithm of the limit after the
	// climb. It is the largest one too.
	stepInitial = 0.3
	// stepMin is the least step.
	stepMin = 0.05
	// stepGrowth and stepShrink adapt the step: errors of one sign make it
	// larger, a change of sign makes it smaller.
	stepGrowth = 1.2
	stepShrink = 0.5
	// stepDoubted is the step up to which one comparison is enough to go down.
	stepDoubted = 0.1
	// stepSettled and errorSettled are the step and the error up to which the
	// limit counts as settled.
	stepSettled  = 0.1
	errorSettled = 0.4
	// retreatStep is the fall of the logarithm of the limit after a comparison in
	// which most calls got no answer in time.
	retreatStep = 0.6
	// errorGain scales an error to the part of the step that is taken.
	errorGain = 2

	// gapMin and gapMax bound the distance between the two levels of a
	// comparison, as a logarithm. A wide gap tells more and costs more. One
	// comparison in checkEvery has gapMax also when the limit is settled: far
	// above the slots it tells more than the least one.
	gapMin     = 0.18
	gapMax     = 0.36
	checkEvery = 2
	// gapPerStep sets the gap from the step.
	gapPerStep = 2
	// batchLeast is the least number of calls at each level.
	batchLeast = 64
	// turnsLeast is the least number of calls per slot in a comparison.
	// Calls of equal length run in waves, and a part of a wave misleads.
	turnsLeast = 2

	// elasticityTarget is the aim for the change of the time to answer relative
	// to the change of the level: 0 below the endpoint's slots, 1 above.
	elasticityTarget = 0.7
	// elasticityLeast and elasticityMost bound what the number of calls in flight
	// can explain over the least gap. Outside of them the endpoint itself became
	// slower or faster between the two levels, and the comparison tells nothing.
	elasticityLeast = -3
	elasticityMost  = 5
)

// knee searches the number of calls in flight above which an endpoint answers
// later but not more often.
type knee struct {
	// logLimit is the logarithm of the limit before rounding.
	logLimit float64
	logMost  float64
	step     float64
	evidence evidence
	upwards  bool // sign of the last error
	compared bool
	climbing bool // no comparison was without spare slots yet
	learned  bool // a comparison was taken in
	pinned   bool // the limit is the ceiling and would grow if it could
	turn     int  // counts the comparisons while the limit is settled
}

func newKnee() knee {
	return knee{step: stepInitial}
}

// setCeiling changes the ceiling. What was learned above a low one stays, for
// the time when it is raised again.
func (k *knee) setCeiling(ceiling int) {
	k.logMost = math.Log(float64(ceiling))
	if !k.learned {
		k.climbing = true
		k.logLimit = min(k.logMost, math.Log(initialLimit))
	}
}

// level returns the limit with some room above, as a logarithm.
func (k *knee) level(room float64) int {
	return int(math.Round(math.Exp(min(k.logMost, k.logLimit+room))))
}

// levels returns the two levels of the next comparison and the number of calls
// to measure at each. An endpoint of one slot is compared at 2 and 1.
func (k *knee) levels() (high, low, size int) {
	if k.climbing {
		high, low = k.climbLevels()
		k.climbing = high > low
	}
	if !k.climbing {
		high = max(2, k.level(0))
		leastApart := int(float64(high) * math.Exp(-gapMin))
		low = max(1, min(leastApart, k.level(-k.gap())))
	}
	return high, low, max(batchLeast, turnsLeast*high)
}

// gap returns the distance between the levels of the next comparison.
func (k *knee) gap() float64 {
	if k.wide() {
		return gapMax
	}
	return max(gapMin, min(gapMax, gapPerStep*k.step))
}

// adapt takes in the elasticity of one comparison, with its variance, and
// reports whether the limit is settled.
func (k *knee) adapt(elasticity, variance float64) bool {
	scale := 1.0
	if k.wide() {
		scale = gapMin / gapMax
	}
	if elasticity < elasticityLeast*scale || elasticity > elasticityMost*scale {
		return false
	}
	k.turn++
	if k.step > stepSettled {
		k.turn = 0
	}
	k.learned = true
	k.evidence.add(elasticity, variance)
	err := k.evidence.err
	if k.pin(err > 0) {
		return true
	}
	if k.evidence.decided() && !k.doubt(err < 0) {
		k.adaptStep(err > 0)
		k.move(k.step * max(-1, min(1, errorGain*err)))
	}
	return k.step <= stepSettled && math.Abs(err) < errorSettled
}

// doubt reports whether a comparison that asks for less is to be made again
// first. An endpoint that grows faster between the two levels, as after a cold
// start, looks like one without spare slots; two times in a row it hardly does.
func (k *knee) doubt(less bool) bool {
	return less && k.evidence.count == 1 && k.step > stepDoubted
}

// pin settles the limit at the ceiling as long as comparisons ask for more, so
// that frequent comparisons hold back no calls for a limit that can't grow.
func (k *knee) pin(upwards bool) bool {
	was := k.pinned
	k.pinned = upwards && k.logLimit >= k.logMost
	switch {
	case k.pinned:
		k.step = stepMin
		k.evidence.weight = min(k.evidence.weight, weightPinned)
	case was:
		k.step = stepInitial
		k.compared = false
	}
	return k.pinned
}

// retreat lowers the limit after a comparison in which most calls got no answer
// in time.
func (k *knee) retreat() {
	k.pinned = false
	k.climbing = false
	k.learned = true
	k.adaptStep(false)
	k.move(-retreatStep)
}

// wide reports whether the present comparison has gapMax whatever the step is.
func (k *knee) wide() bool {
	return k.pinned || k.turn%checkEvery == checkEvery-1
}

func (k *knee) adaptStep(upwards bool) {
	if k.compared && upwards == k.upwards {
		k.step = min(stepInitial, k.step*stepGrowth)
	} else if k.compared {
		k.step = max(stepMin, k.step*stepShrink)
	}
	k.upwards = upwards
	k.compared = true
}

func (k *knee) move(by float64) {
	most := max(k.logMost, k.logLimit)
	before := k.logLimit
	k.logLimit = max(0, min(most, k.logLimit+by))
	k.evidence.fade(k.logLimit - before)
}

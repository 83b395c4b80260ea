package capacity

import "math"

const (
	// initialLimit is the highest limit at the start of the ramp-up of an
	// unknown endpoint.
	initialLimit = 16
	// stepInitial is the first change of the logarithm of the limit after the
	// ramp-up, and the maximum.
	stepInitial = 0.3
	// stepMin is the minimum step.
	stepMin = 0.05
	// stepGrowth and stepShrink adapt the step: errors of the same sign
	// increase it, a change of sign reduces it.
	stepGrowth = 1.2
	stepShrink = 0.5
	// stepUnconfirmedMax is the step up to which one comparison suffices to
	// lower the limit.
	stepUnconfirmedMax = 0.1
	// stepSettledMax and errorSettledMax are the step and the error up to which
	// the limit counts as settled.
	stepSettledMax  = 0.1
	errorSettledMax = 0.4
	// backOffStep is the decrease of the logarithm of the limit after a
	// comparison in which most calls got no response in time.
	backOffStep = 0.6
	// errorGain scales an error to the fraction of the step that is applied.
	errorGain = 2

	// gapMin and gapMax bound the distance between the two levels of a
	// comparison, as a logarithm. A wide gap is more informative and costs more
	// throughput. While the limit is settled, one comparison in gapMaxEvery
	// uses gapMax: far above the slots it is more informative than gapMin.
	gapMin      = 0.18
	gapMax      = 0.36
	gapMaxEvery = 2
	// gapPerStep is the ratio of the gap to the step.
	gapPerStep = 2
	// batchSizeMin is the minimum number of calls at each level.
	batchSizeMin = 64
	// callsPerSlotMin is the minimum number of calls per slot in a batch. Calls
	// of equal length run in waves, and a partial wave is misleading.
	callsPerSlotMin = 2

	// elasticityTarget is the target for the relative change of the response
	// time per relative change of the level, which is 0 below the endpoint's
	// slots and 1 above.
	elasticityTarget = 0.7
	// elasticityPlausibleMin and elasticityPlausibleMax bound the elasticities
	// that the number of calls in flight can cause over gapMin. Outside of them
	// the endpoint itself became slower or faster between the two levels, and
	// the comparison is ignored.
	elasticityPlausibleMin = -3
	elasticityPlausibleMax = 5
)

// knee searches the knee of an endpoint, the number of calls in flight
// above which response times grow and throughput does not.
type knee struct {
	// logLimit is the logarithm of the limit before rounding.
	logLimit           float64
	logCeiling         float64
	step               float64
	evidence           evidence
	upwards            bool // sign of the last error
	hasDirection       bool // upwards is set
	rampingUp          bool // every comparison so far found spare slots
	learned            bool // a comparison was evaluated
	pinned             bool // the limit is the ceiling and comparisons ask for more
	settledComparisons int  // number of comparisons while the limit is settled
}

func newKnee() knee {
	return knee{step: stepInitial}
}

// setCeiling changes the ceiling. A learned limit above a lower ceiling is
// kept for the time when the ceiling is raised again.
func (k *knee) setCeiling(ceiling int) {
	k.logCeiling = math.Log(float64(ceiling))
	if !k.learned {
		k.rampingUp = true
		k.logLimit = min(k.logCeiling, math.Log(initialLimit))
	}
}

// level returns the limit plus headroom, which is a logarithm.
func (k *knee) level(headroom float64) int {
	return int(math.Round(math.Exp(min(k.logCeiling, k.logLimit+headroom))))
}

// levels returns the two levels of the next comparison and the number of calls
// to measure at each. For an endpoint with one slot the levels are 2 and 1.
func (k *knee) levels() (high, low, size int) {
	if k.rampingUp {
		high, low = k.rampUpLevels()
		k.rampingUp = high > low
	}
	if !k.rampingUp {
		high = max(2, k.level(0))
		lowMax := int(float64(high) * math.Exp(-gapMin))
		low = max(1, min(lowMax, k.level(-k.gap())))
	}
	return high, low, max(batchSizeMin, callsPerSlotMin*high)
}

// gap returns the logarithmic distance between the levels of the next
// comparison.
func (k *knee) gap() float64 {
	if k.usesMaxGap() {
		return gapMax
	}
	return max(gapMin, min(gapMax, gapPerStep*k.step))
}

// adapt applies the elasticity of one comparison, with its variance, and
// reports whether the limit is settled.
func (k *knee) adapt(elasticity, variance float64) bool {
	scale := 1.0
	if k.usesMaxGap() {
		scale = gapMin / gapMax
	}
	if elasticity < elasticityPlausibleMin*scale || elasticity > elasticityPlausibleMax*scale {
		return false
	}
	k.settledComparisons++
	if k.step > stepSettledMax {
		k.settledComparisons = 0
	}
	k.learned = true
	k.evidence.add(elasticity, variance)
	elasticityError := k.evidence.elasticityError
	if k.updatePinned(elasticityError > 0) {
		return true
	}
	if k.evidence.conclusive() && !k.needsConfirmation(elasticityError < 0) {
		k.adaptStep(elasticityError > 0)
		k.move(k.step * max(-1, min(1, errorGain*elasticityError)))
	}
	return k.step <= stepSettledMax && math.Abs(elasticityError) < errorSettledMax
}

// needsConfirmation reports whether a comparison that asks for a lower limit
// must be repeated first. An endpoint that becomes faster between the two
// levels, as after a cold start, looks like one without spare slots; that
// hardly happens twice in a row.
func (k *knee) needsConfirmation(less bool) bool {
	return less && k.evidence.comparisons == 1 && k.step > stepUnconfirmedMax
}

// updatePinned settles the limit at the ceiling while comparisons ask for
// more, so that frequent comparisons do not hold back calls for a limit that
// can't grow.
func (k *knee) updatePinned(upwards bool) bool {
	wasPinned := k.pinned
	k.pinned = upwards && k.logLimit >= k.logCeiling
	switch {
	case k.pinned:
		k.step = stepMin
		k.evidence.weight = min(k.evidence.weight, weightMaxPinned)
	case wasPinned:
		k.step = stepInitial
		k.hasDirection = false
	}
	return k.pinned
}

// backOff lowers the limit after a comparison in which most calls got no
// response in time.
func (k *knee) backOff() {
	k.pinned = false
	k.rampingUp = false
	k.learned = true
	k.adaptStep(false)
	k.move(-backOffStep)
}

// usesMaxGap reports whether the current comparison uses gapMax independently
// of the step.
func (k *knee) usesMaxGap() bool {
	return k.pinned || k.settledComparisons%gapMaxEvery == gapMaxEvery-1
}

func (k *knee) adaptStep(upwards bool) {
	if k.hasDirection && upwards == k.upwards {
		k.step = min(stepInitial, k.step*stepGrowth)
	} else if k.hasDirection {
		k.step = max(stepMin, k.step*stepShrink)
	}
	k.upwards = upwards
	k.hasDirection = true
}

func (k *knee) move(delta float64) {
	logMax := max(k.logCeiling, k.logLimit)
	before := k.logLimit
	k.logLimit = max(0, min(logMax, k.logLimit+delta))
	k.evidence.decay(k.logLimit - before)
}

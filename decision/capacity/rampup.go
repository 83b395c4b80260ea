package capacity

// The ramp-up finds the approximate limit of an unknown endpoint: while slots are
// spare, each comparison doubles the limit, and the calls measured at its higher
// level serve as the lower level of the next one.

const (
	// rampUpFactor is the growth of the limit per comparison of the ramp-up.
	rampUpFactor = 2
	// rampUpLastFactor is the growth below which the ramp-up goes to the
	// ceiling at once instead of growing by rampUpFactor.
	rampUpLastFactor = 3
	// rampUpElasticityMax is the elasticity at which the ramp-up ends. Over a
	// doubling, an endpoint without spare slots has 1.
	rampUpElasticityMax = 0.7
)

// rampUpLevels returns the two levels of the next comparison of the ramp-up.
// They are equal at the ceiling.
func (k *knee) rampUpLevels() (high, low int) {
	low = max(1, k.level(0))
	ceiling := k.level(k.logCeiling)
	if ceiling < rampUpLastFactor*low {
		return ceiling, low
	}
	return rampUpFactor * low, low
}

// advanceRampUp applies the elasticity of one comparison of the ramp-up, over
// the gap between its levels, and reports whether the ramp-up continues from
// the higher level. The ramp-up ends at the level up to which, according to
// the elasticity, slots were spare.
func (k *knee) advanceRampUp(elasticity, gap float64) bool {
	k.learned = true
	if elasticity > elasticityPlausibleMin && elasticity < rampUpElasticityMax {
		k.move(gap)
		high, low := k.rampUpLevels()
		k.rampingUp = high > low
		if !k.rampingUp {
			k.logLimit = k.logCeiling
		}
		return k.rampingUp
	}
	k.rampingUp = false
	k.move(gap * (1 - max(0, min(1, elasticity))))
	return false
}

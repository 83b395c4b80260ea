package capacity

// The climb finds the size of an endpoint of which nothing is known: as long as
// slots are spare, each comparison doubles the limit, and the calls measured at
// its higher level serve as the lower level of the next one.

const (
	// climbFactor is the growth of the limit by one comparison of the climb.
	climbFactor = 2
	// climbLast is the largest growth with which the ceiling is tried at once
	// instead of climbFactor.
	climbLast = 3
	// climbStop is the elasticity from which on the climb ends. Over a doubling an
	// endpoint without spare slots has 1.
	climbStop = 0.7
)

// climbLevels returns the two levels of the next comparison of the climb. They
// are equal at the ceiling.
func (k *knee) climbLevels() (high, low int) {
	low = max(1, k.level(0))
	most := k.level(k.logMost)
	if most < climbLast*low {
		return most, low
	}
	return climbFactor * low, low
}

// climb takes in the elasticity of one comparison of the climb, over the gap
// between its levels, and reports whether the climb goes on from the higher one.
// The climb ends at the level up to which, by the elasticity, slots were spare.
func (k *knee) climb(elasticity, gap float64) bool {
	k.learned = true
	if elasticity > elasticityLeast && elasticity < climbStop {
		k.move(gap)
		high, low := k.climbLevels()
		k.climbing = high > low
		if !k.climbing {
			k.logLimit = k.logMost
		}
		return k.climbing
	}
	k.climbing = false
	k.move(gap * (1 - max(0, min(1, elasticity))))
	return false
}

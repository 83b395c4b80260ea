package capacity

import "math"

const (
	// elasticityClampMin and elasticityClampMax bound the elasticity of one
	// comparison, so that an outlier has limited influence.
	elasticityClampMin = -1
	elasticityClampMax = 2
	// modelVariance is the variance of an elasticity beyond that of its
	// samples: calls run in waves, and the endpoint itself changes.
	modelVariance = 0.05
	// weightMax bounds the weight of earlier comparisons, so that a few new
	// ones outweigh the evidence from before a change of the endpoint.
	weightMax = 6
	// weightMaxPinned replaces weightMax while the limit is the ceiling, where
	// comparisons are rare.
	weightMaxPinned = 2
	// decayDistance is the change of the logarithm of the limit that reduces
	// the weight to 1/e, as earlier comparisons were made at a different limit.
	decayDistance = 0.07
	// decisiveDeviation is the standard deviation up to which the mean error is
	// conclusive whatever its size. Above it, the error must be at least as
	// large as the deviation.
	decisiveDeviation = 0.35
)

// evidence is the mean error of the comparisons near the current limit,
// weighted by the inverse of their variances.
//
// The elasticity of one comparison has a standard deviation of up to 1.3 for
// calls of very different length, as much as the whole range between spare
// slots and none. Steps that each follow one comparison go the wrong way
// several times in a row.
type evidence struct {
	elasticityError float64
	weight          float64 // inverse variance of elasticityError
	comparisons     int     // since the limit changed
}

// add adds the elasticity of one comparison, with the variance due to its
// samples.
func (e *evidence) add(elasticity, variance float64) {
	elasticityError := elasticityTarget - max(elasticityClampMin, min(elasticityClampMax, elasticity))
	weight := 1 / (variance + modelVariance)
	e.weight = min(e.weight, weightMax) + weight
	e.elasticityError += (elasticityError - e.elasticityError) * weight / e.weight
	e.comparisons++
}

// conclusive reports whether the mean error is known well enough to change the
// limit.
func (e *evidence) conclusive() bool {
	deviation := 1 / math.Sqrt(e.weight)
	return deviation <= decisiveDeviation || math.Abs(e.elasticityError) >= deviation
}

// decay reduces the weight after the logarithm of the limit changed by moved.
func (e *evidence) decay(moved float64) {
	e.weight *= math.Exp(-math.Abs(moved) / decayDistance)
	e.comparisons = 0
}

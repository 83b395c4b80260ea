package capacity

import "math"

const (
	// elasticityFloor and elasticityCeiling bound one elasticity, so that a single
	// comparison counts for no more than it can tell.
	elasticityFloor   = -1
	elasticityCeiling = 2
	// modelVariance is the variance that an elasticity has beside that of its
	// samples: calls run in waves, and the endpoint itself changes.
	modelVariance = 0.05
	// weightMost bounds the weight of older comparisons, so that evidence from
	// before the endpoint changed is outweighed after a few new ones.
	weightMost = 6
	// weightPinned is the same while the limit is the ceiling, where comparisons
	// are rare.
	weightPinned = 2
	// fadeDistance is the change of the logarithm of the limit after which 1/e of
	// the weight is left: the comparisons were made at another limit.
	fadeDistance = 0.07
	// deviationLeast is the standard deviation of the mean error under which it is
	// taken as it is. A larger one must be exceeded by the error itself.
	deviationLeast = 0.35
)

// evidence is the mean error of the comparisons made near the present limit,
// weighted by what each of them can tell.
//
// One comparison of calls of very different length has a standard deviation of
// up to 1.3, as much as the whole range between spare slots and none. Steps that
// each follow one comparison go the wrong way several times in a row.
type evidence struct {
	err    float64
	weight float64 // 1 over the variance of err
	count  int     // comparisons since the limit moved
}

// add takes in the elasticity of one comparison and the variance that its
// samples give it.
func (e *evidence) add(elasticity, variance float64) {
	err := elasticityTarget - max(elasticityFloor, min(elasticityCeiling, elasticity))
	weight := 1 / (variance + modelVariance)
	e.weight = min(e.weight, weightMost) + weight
	e.err += (err - e.err) * weight / e.weight
	e.count++
}

// decided reports whether the error is known well enough to move the limit.
func (e *evidence) decided() bool {
	deviation := 1 / math.Sqrt(e.weight)
	return deviation <= deviationLeast || math.Abs(e.err) >= deviation
}

// fade takes weight off after the logarithm of the limit moved.
func (e *evidence) fade(moved float64) {
	e.weight *= math.Exp(-math.Abs(moved) / fadeDistance)
	e.count = 0
}

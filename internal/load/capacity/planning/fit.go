package planning

import "math"

// Point is one measured value with its predictors.
type Point struct {
	// Predictors holds the predictors, such as the numbers of VMs and services.
	Predictors []float64
	// Value is the measured value.
	Value float64
}

// LinearFit is a linear function: an intercept and one coefficient for each
// predictor.
type LinearFit struct {
	// Intercept is the value where all predictors are 0.
	Intercept float64 `json:"constant"`
	// Coefficients holds the slope for each predictor.
	Coefficients []float64 `json:"per"`
	// Residual is the root mean square error over the points.
	Residual float64 `json:"residual"`
}

// Value returns the value at the given predictors.
func (s LinearFit) Value(at ...float64) float64 {
	v := s.Intercept
	for i, x := range at {
		v += s.Coefficients[i] * x
	}
	return v
}

// Fit returns the least squares fit of points. A predictor that is collinear with
// the preceding ones gets the coefficient 0.
func Fit(points []Point) LinearFit {
	if len(points) == 0 {
		return LinearFit{}
	}
	terms := len(points[0].Predictors) + 1
	scale := scales(points, terms)
	solution := solve(normalEquations(points, scale))
	out := LinearFit{Intercept: solution[0], Coefficients: make([]float64, terms-1)}
	for i := range out.Coefficients {
		out.Coefficients[i] = solution[i+1] / scale[i+1]
	}
	sum := 0.0
	for _, p := range points {
		d := p.Value - out.Value(p.Predictors...)
		sum += d * d
	}
	out.Residual = math.Sqrt(sum / float64(len(points)))
	return out
}

// scales returns the largest absolute value of each term, which normalises terms
// of different units.
func scales(points []Point, terms int) []float64 {
	out := make([]float64, terms)
	for i := range out {
		for _, p := range points {
			out[i] = max(out[i], math.Abs(term(p, i)))
		}
		if out[i] == 0 {
			out[i] = 1
		}
	}
	return out
}

func term(p Point, i int) float64 {
	if i == 0 {
		return 1
	}
	return p.Predictors[i-1]
}

// normalEquations returns the matrix of the least squares problem, with the
// right-hand side as its last column.
func normalEquations(points []Point, scale []float64) [][]float64 {
	n := len(scale)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n+1)
		for _, p := range points {
			x := term(p, i) / scale[i]
			for j := range n {
				rows[i][j] += x * term(p, j) / scale[j]
			}
			rows[i][n] += x * p.Value
		}
	}
	return rows
}

// minPivot is the pivot of the normalised equations below which a term counts as
// collinear with the terms before it.
const minPivot = 1e-9

// solve runs Gauss-Jordan elimination. Terms without a pivot get 0.
func solve(rows [][]float64) []float64 {
	n := len(rows)
	free := make([]bool, n)
	for i := range n {
		if math.Abs(rows[i][i]) < minPivot {
			free[i] = true
			continue
		}
		for j := range n {
			if j == i {
				continue
			}
			factor := rows[j][i] / rows[i][i]
			for k := range rows[j] {
				rows[j][k] -= factor * rows[i][k]
			}
		}
	}
	out := make([]float64, n)
	for i := range n {
		if !free[i] {
			out[i] = rows[i][n] / rows[i][i]
		}
	}
	return out
}

// Growth is the growth of a cost with the size of the fleet.
type Growth string

// The kinds of growth.
const (
	// GrowthFlat means no growth that can be distinguished from noise.
	GrowthFlat Growth = "flat"
	// GrowthLogarithmic means growth with the logarithm of the size.
	GrowthLogarithmic Growth = "log"
	// GrowthLinear means growth with the size.
	GrowthLinear Growth = "linear"
)

// flatShare is the share of the mean up to which the growth over all sizes counts
// as flat.
const flatShare = 0.1

// ClassifyGrowth returns the kind of growth that fits values at sizes best.
func ClassifyGrowth(sizes, values []float64) Growth {
	if len(sizes) == 0 {
		return GrowthFlat
	}
	var linear, logarithmic []Point
	mean, smallest, largest := 0.0, math.Inf(1), 0.0
	for i, x := range sizes {
		linear = append(linear, Point{Predictors: []float64{x}, Value: values[i]})
		logarithmic = append(logarithmic, Point{Predictors: []float64{math.Log2(x)}, Value: values[i]})
		mean += values[i] / float64(len(sizes))
		smallest, largest = min(smallest, x), max(largest, x)
	}
	linearFit, logarithmicFit := Fit(linear), Fit(logarithmic)
	increase := linearFit.Value(largest) - linearFit.Value(smallest)
	switch {
	case increase <= flatShare*math.Abs(mean) || increase <= 2*linearFit.Residual:
		return GrowthFlat
	case logarithmicFit.Residual < linearFit.Residual:
		return GrowthLogarithmic
	default:
		return GrowthLinear
	}
}

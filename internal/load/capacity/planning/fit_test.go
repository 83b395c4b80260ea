package planning

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFitRecoversPlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		constant := rapid.Float64Range(-1e6, 1e6).Draw(t, "constant")
		perVM := rapid.Float64Range(-1e4, 1e4).Draw(t, "per VM")
		perService := rapid.Float64Range(-1e4, 1e4).Draw(t, "per service")
		var points []Point
		for _, at := range [][]float64{{25, 8}, {50, 8}, {100, 8}, {200, 8}, {100, 190}, {5050, 190}} {
			points = append(points, Point{Predictors: at, Value: constant + perVM*at[0] + perService*at[1]})
		}
		got := Fit(points)
		require.InDelta(t, constant, got.Intercept, 1e-2)
		require.InDelta(t, perVM, got.Coefficients[0], 1e-4)
		require.InDelta(t, perService, got.Coefficients[1], 1e-3)
		require.InDelta(t, 0, got.Residual, 1e-2)
	})
}

func TestFitMinimisesSquaredError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var points []Point
		for _, x := range []float64{25, 50, 100, 200} {
			points = append(points, Point{Predictors: []float64{x}, Value: rapid.Float64Range(0, 100).Draw(t, "value")})
		}
		got := Fit(points)
		other := LinearFit{
			Intercept:    got.Intercept + rapid.Float64Range(-5, 5).Draw(t, "constant"),
			Coefficients: []float64{got.Coefficients[0] + rapid.Float64Range(-0.1, 0.1).Draw(t, "slope")},
		}
		require.LessOrEqual(t, squaredError(got, points), squaredError(other, points)+1e-6)
	})
}

func squaredError(s LinearFit, points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += math.Pow(p.Value-s.Value(p.Predictors...), 2)
	}
	return sum
}

func TestFitWithConstantPredictor(t *testing.T) {
	got := Fit([]Point{{Predictors: []float64{25, 8}, Value: 50}, {Predictors: []float64{100, 8}, Value: 200}})
	require.InDelta(t, 2, got.Coefficients[0], 1e-9)
	require.Zero(t, got.Coefficients[1], "the number of services never changed")
	require.InDelta(t, 400, got.Value(200, 8), 1e-6)
	require.Equal(t, LinearFit{}, Fit(nil))
}

func TestClassifyGrowth(t *testing.T) {
	sizes := []float64{25, 50, 100, 200}
	cases := []struct {
		desc   string
		values []float64
		want   Growth
	}{
		{"constant", []float64{14, 14, 14, 14}, GrowthFlat},
		{"noise", []float64{14, 12, 15, 13}, GrowthFlat},
		{"falling", []float64{14, 13, 12, 8}, GrowthFlat},
		{"one step per doubling", []float64{1, 2, 3, 4}, GrowthLogarithmic},
		{"proportional", []float64{25, 50, 100, 200}, GrowthLinear},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Equal(t, c.want, ClassifyGrowth(sizes, c.values))
		})
	}
}

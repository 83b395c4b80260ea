package planning

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFitFindsThePlane(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		constant := rapid.Float64Range(-1e6, 1e6).Draw(t, "constant")
		perVM := rapid.Float64Range(-1e4, 1e4).Draw(t, "per VM")
		perService := rapid.Float64Range(-1e4, 1e4).Draw(t, "per service")
		var points []Point
		for _, at := range [][]float64{{25, 8}, {50, 8}, {100, 8}, {200, 8}, {100, 190}, {5050, 190}} {
			points = append(points, Point{At: at, Value: constant + perVM*at[0] + perService*at[1]})
		}
		got := Fit(points)
		require.InDelta(t, constant, got.Constant, 1e-2)
		require.InDelta(t, perVM, got.Per[0], 1e-4)
		require.InDelta(t, perService, got.Per[1], 1e-3)
		require.InDelta(t, 0, got.Residual, 1e-2)
	})
}

func TestFitOfNoiseIsNoWorseThanOtherLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var points []Point
		for _, x := range []float64{25, 50, 100, 200} {
			points = append(points, Point{At: []float64{x}, Value: rapid.Float64Range(0, 100).Draw(t, "value")})
		}
		got := Fit(points)
		other := Slopes{
			Constant: got.Constant + rapid.Float64Range(-5, 5).Draw(t, "constant"),
			Per:      []float64{got.Per[0] + rapid.Float64Range(-0.1, 0.1).Draw(t, "slope")},
		}
		require.LessOrEqual(t, squares(got, points), squares(other, points)+1e-6)
	})
}

func squares(s Slopes, points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		sum += math.Pow(p.Value-s.Value(p.At...), 2)
	}
	return sum
}

func TestFitOfWhatThePointsDoNotTellApart(t *testing.T) {
	got := Fit([]Point{{At: []float64{25, 8}, Value: 50}, {At: []float64{100, 8}, Value: 200}})
	require.InDelta(t, 2, got.Per[0], 1e-9)
	require.Zero(t, got.Per[1], "the number of services never changed")
	require.InDelta(t, 400, got.Value(200, 8), 1e-6)
	require.Equal(t, Slopes{}, Fit(nil))
}

func TestGrowthOf(t *testing.T) {
	sizes := []float64{25, 50, 100, 200}
	cases := []struct {
		desc   string
		values []float64
		want   Growth
	}{
		{"constant", []float64{14, 14, 14, 14}, Flat},
		{"noise", []float64{14, 12, 15, 13}, Flat},
		{"falling", []float64{14, 13, 12, 8}, Flat},
		{"one step with each doubling", []float64{1, 2, 3, 4}, Logarithmic},
		{"in proportion", []float64{25, 50, 100, 200}, Linear},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Equal(t, c.want, GrowthOf(sizes, c.values))
		})
	}
}

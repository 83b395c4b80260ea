package timeline

import (
	"io"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"github.com/galenacart/galenacart/internal/picture"
)

// DrawLosses plots losses over time, with a line for each reason, in the format that
// the extension of file names. step is the time step of the groups.
func DrawLosses(w io.Writer, file string, step time.Duration, losses []Loss) error {
	byReason := make(map[string]map[time.Duration]int)
	last := time.Duration(0)
	for _, l := range losses {
		if byReason[l.Reason] == nil {
			byReason[l.Reason] = make(map[time.Duration]int)
		}
		byReason[l.Reason][l.After] += l.Count
		last = max(last, l.After)
	}
	p := picture.NewPlot("Requests lost", "requests/s")
	var lines []any // alternating names and points
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		var points plotter.XYs
		for after := time.Duration(0); after <= last; after += step {
			points = append(points, plotter.XY{X: after.Seconds(), Y: float64(byReason[reason][after]) / step.Seconds()})
		}
		lines = append(lines, reason, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return picture.Write(w, filepath.Ext(file), p)
}

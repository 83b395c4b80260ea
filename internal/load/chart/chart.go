// Package chart plots goodput and latency of reports over time.
package chart

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/picture"
)

// dashLength is the length of a dash and of the gap after it.
const dashLength = vg.Inch / 12

// WriteFile plots reports of one experiment into a .svg or .png file.
func WriteFile(file string, reports []*report.Report) error {
	if err := report.CheckComparable(reports); err != nil {
		return err
	}
	goodput, err := newGoodputPlot(reports)
	if err != nil {
		return err
	}
	latency, err := newLatencyPlot(reports)
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write chart")
	}
	if err := picture.Write(f, filepath.Ext(file), goodput, latency); err != nil {
		_ = f.Close() // the write error is returned
		return errors.Wrapf(err, "write %s", file)
	}
	return errors.Wrap(f.Close(), "write chart")
}

func newGoodputPlot(reports []*report.Report) (*plot.Plot, error) {
	p := picture.NewPlot("Goodput of whole requests: "+reports[0].Name, "requests/s")
	perStep := 1 / report.SeriesStep.Seconds()
	good := func(pt report.Point) (float64, bool) { return float64(pt.Good) * perStep, true }
	if err := addLines(p, reports, good); err != nil {
		return nil, err
	}
	return p, addPhaseMarkers(p, reports[0])
}

func newLatencyPlot(reports []*report.Report) (*plot.Plot, error) {
	p := picture.NewPlot("Latency of good requests, 0.99 quantile", "ms")
	p99 := func(pt report.Point) (float64, bool) { return pt.P99Ms, pt.Good > 0 }
	if err := addLines(p, reports, p99); err != nil {
		return nil, err
	}
	return p, addPhaseMarkers(p, reports[0])
}

// addLines adds a line for each class of each report.
func addLines(p *plot.Plot, reports []*report.Report, value func(report.Point) (float64, bool)) error {
	var lines []any // alternating names and points
	for _, r := range reports {
		for _, class := range r.Phases[0].Classes {
			if points := classPoints(r, class.Class, value); len(points) > 0 {
				lines = append(lines, r.Label+": "+class.Class, points)
			}
		}
	}
	return errors.Wrap(plotutil.AddLines(p, lines...), "draw lines")
}

// classPoints returns the points of a class that have a value.
func classPoints(r *report.Report, class string, value func(report.Point) (float64, bool)) plotter.XYs {
	var points plotter.XYs
	for _, pt := range r.Series {
		if y, ok := value(pt); ok && pt.Class == class {
			points = append(points, plotter.XY{X: float64(pt.StartMs) / 1000, Y: y})
		}
	}
	return points
}

// addPhaseMarkers marks the start of each phase with a dashed line and its name.
func addPhaseMarkers(p *plot.Plot, r *report.Report) error {
	var labels plotter.XYLabels
	top := p.Y.Max
	for _, phase := range r.Phases {
		x := float64(phase.StartMs) / 1000
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrapf(err, "mark phase %s", phase.Name)
		}
		l.Dashes = []vg.Length{dashLength, dashLength}
		p.Add(l)
		labels.XYs = append(labels.XYs, plotter.XY{X: x, Y: top})
		labels.Labels = append(labels.Labels, " "+phase.Name)
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "name phases")
	}
	p.Add(names)
	return nil
}

// Package picture lays out plots over time and writes them as SVG or PNG.
package picture

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a picture.
const (
	width  = 10 * vg.Inch
	height = 8 * vg.Inch
	margin = vg.Inch / 6
)

// NewPlot returns an empty plot over time in seconds.
func NewPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "arrival, s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

// Write draws plots, one below the other, in the format that a file's extension names:
// .svg or .png.
func Write(w io.Writer, extension string, plots ...*plot.Plot) error {
	switch extension {
	case ".svg":
		c := vgsvg.New(width, height)
		tile(draw.New(c), plots)
		_, err := c.WriteTo(w)
		return err
	case ".png":
		c := vgimg.New(width, height)
		tile(draw.New(c), plots)
		_, err := vgimg.PngCanvas{Canvas: c}.WriteTo(w)
		return err
	default:
		return errors.Errorf("want .svg or .png, have %q", extension)
	}
}

// tile draws plots one below the other, on a common time axis.
func tile(c draw.Canvas, plots []*plot.Plot) {
	tiles := draw.Tiles{
		Rows: len(plots), Cols: 1,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin, PadY: margin,
	}
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	canvases := plot.Align(rows, tiles, c)
	for i, p := range plots {
		p.Draw(canvases[i][0])
	}
}

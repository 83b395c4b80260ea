// Package picture arranges plots over time in one image and writes it as SVG or PNG.
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

// Size and margins of an image.
const (
	pictureWidth  = 10 * vg.Inch
	pictureHeight = 8 * vg.Inch
	margin        = vg.Inch / 6
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

// Write draws plots, one below the other, in the format of a file name extension: .svg
// or .png.
func Write(w io.Writer, extension string, plots ...*plot.Plot) error {
	switch extension {
	case ".svg":
		c := vgsvg.New(pictureWidth, pictureHeight)
		drawTiles(draw.New(c), plots)
		_, err := c.WriteTo(w)
		return err
	case ".png":
		c := vgimg.New(pictureWidth, pictureHeight)
		drawTiles(draw.New(c), plots)
		_, err := vgimg.PngCanvas{Canvas: c}.WriteTo(w)
		return err
	default:
		return errors.Errorf("want .svg or .png, have %q", extension)
	}
}

// drawTiles draws plots one below the other, on a common time axis.
func drawTiles(c draw.Canvas, plots []*plot.Plot) {
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

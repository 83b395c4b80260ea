package chart

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/load/report"
)

// exampleReport returns a report with a class without any good request.
func exampleReport(label string) *report.Report {
	return &report.Report{
		Name: "test", Label: label,
		Phases: []report.PhaseResult{
			{Name: "before", EndMs: 500, Classes: []report.ClassResult{{Class: "booking"}, {Class: "lookup"}}},
			{Name: "during", StartMs: 500, EndMs: 1000, Classes: []report.ClassResult{{Class: "booking"}, {Class: "lookup"}}},
		},
		Series: []report.Point{
			{StartMs: 0, Class: "booking", Offered: 5, Good: 5, P99Ms: 7},
			{StartMs: 500, Class: "booking", Offered: 5, Good: 2, P99Ms: 9},
			{StartMs: 0, Class: "lookup", Offered: 5},
			{StartMs: 500, Class: "lookup", Offered: 5},
		},
	}
}

func TestWriteFile(t *testing.T) {
	dir := t.TempDir()
	reports := []*report.Report{exampleReport("galenacart"), exampleReport("direct")}
	svg := filepath.Join(dir, "plot.svg")
	require.NoError(t, WriteFile(svg, reports))
	text, err := os.ReadFile(svg)
	require.NoError(t, err)
	for _, want := range []string{"before", "during", "galenacart: booking", "direct: lookup", "Goodput", "Latency"} {
		require.Contains(t, string(text), want)
	}

	picture := filepath.Join(dir, "plot.png")
	require.NoError(t, WriteFile(picture, reports))
	data, err := os.ReadFile(picture)
	require.NoError(t, err)
	_, err = png.Decode(bytes.NewReader(data))
	require.NoError(t, err)
}

func TestWriteFileRejectsInvalidInput(t *testing.T) {
	dir := t.TempDir()
	require.ErrorContains(t, WriteFile(filepath.Join(dir, "plot.jpg"), []*report.Report{exampleReport("x")}), ".svg or .png")
	require.Error(t, WriteFile(filepath.Join(dir, "plot.svg"), nil))
	other := exampleReport("y")
	other.Seed = 9
	require.ErrorContains(t, WriteFile(filepath.Join(dir, "plot.svg"), []*report.Report{exampleReport("x"), other}), "seed 9")
}

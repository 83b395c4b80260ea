package capacity

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Line is a cost as a function of a size: constant plus slope times size.
type Line struct {
	// Constant is the cost at size 0.
	Constant float64
	// Slope is the cost of one unit of size.
	Slope float64
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 {
	return l.Constant + l.Slope*size
}

// Fit returns the line of least squares through points.
func Fit(sizes, costs []float64) Line {
	n := float64(len(sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range sizes {
		sumX += x
		sumY += costs[i]
		sumXX += x * x
		sumXY += x * costs[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Constant: sumY / n}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Constant: (sumY - slope*sumX) / n, Slope: slope}
}

// WriteTable writes one row for each result.
func WriteTable(w io.Writer, results []*Result) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...string) { _, _ = io.WriteString(out, strings.Join(cells, "\t")+"\n") } // Flush reports a failure
	row("NODES", "LISTED", "SERVICES", "ROLE", "N", "LINKS", "CPU %", "RSS MB", "MSG/S", "KB/S",
		"START S", "CHANGE S", "CHANGE KB", "ZONE S", "READS/S", "START READS/S", "PEAK READS/S", "BACK")
	for _, r := range results {
		for _, role := range []struct {
			name string
			Role
		}{{"reader", r.Readers}, {"other", r.Others}} {
			row(fmt.Sprint(r.Size.Nodes), fmt.Sprint(r.Size.Nodes+r.Size.Listed), fmt.Sprint(r.Size.Services), role.name,
				fmt.Sprint(role.Nodes), number(role.Links), number(role.CPUPercent), number(role.MemoryMB),
				number(role.MessagesPerSecond), number(role.KBPerSecond), number(r.StartSeconds), number(r.ChangeSeconds),
				number(r.ChangeKB), number(r.ZoneSeconds), number(r.IdleReads),
				fmt.Sprint(r.StartPeakReads), fmt.Sprint(r.PeakReads), fmt.Sprint(r.Back))
		}
	}
	return errors.Wrap(out.Flush(), "write table")
}

// WriteSlopes fits the results that differ in the number of nodes only.
func WriteSlopes(w io.Writer, results []*Result) error {
	costs := []struct {
		name string
		of   func(*Result) float64
	}{
		{"links of a node", func(r *Result) float64 { return r.Others.Links }},
		{"CPU % of a node without duty", func(r *Result) float64 { return r.Others.CPUPercent }},
		{"CPU % of a reader", func(r *Result) float64 { return r.Readers.CPUPercent }},
		{"RSS MB of a node without duty", func(r *Result) float64 { return r.Others.MemoryMB }},
		{"messages/s of a node without duty", func(r *Result) float64 { return r.Others.MessagesPerSecond }},
		{"KB/s of a node without duty", func(r *Result) float64 { return r.Others.KBPerSecond }},
		{"seconds of a change", func(r *Result) float64 { return r.ChangeSeconds }},
		{"reads/s of the fleet", func(r *Result) float64 { return r.IdleReads }},
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "COST\tCONSTANT\tPER NODE")
	for _, c := range costs {
		var sizes, values []float64
		for _, r := range results {
			if r.Size.Listed == 0 {
				sizes = append(sizes, float64(r.Size.Nodes))
				values = append(values, c.of(r))
			}
		}
		line := Fit(sizes, values)
		_, _ = fmt.Fprintf(out, "%s\t%s\t%.5f\n", c.name, number(line.Constant), line.Slope)
	}
	return errors.Wrap(out.Flush(), "write slopes")
}

func number(x float64) string {
	return fmt.Sprintf("%.2f", x)
}

// Package check holds what a run under planned faults showed against its
// bounds.
package check

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// BoundResult is one figure of a run with its bound.
type BoundResult struct {
	// Name names the figure.
	Name string
	// Value is what was seen, with its unit.
	Value string
	// Bound is what was asked for.
	Bound string
	// Met says that Value keeps Bound.
	Met bool
}

// atMost returns a row for a count or a time that must not exceed its bound.
func atMost[N int | uint64 | float64](what string, value, bound N, unit string) BoundResult {
	return BoundResult{Name: what, Value: fmt.Sprintf("%v%s", value, unit), Bound: fmt.Sprintf("<= %v%s", bound, unit), Met: value <= bound}
}

// share returns a row for part of whole, with the least share.
func share(what string, part, whole, least float64) BoundResult {
	got := 1.0
	if whole > 0 {
		got = part / whole
	}
	value := fmt.Sprintf("%.4f (%.0f of %.0f)", got, part, whole)
	return BoundResult{Name: what, Value: value, Bound: fmt.Sprintf(">= %.2f", least), Met: got >= least}
}

// CountMissed counts the rows whose bounds were missed.
func CountMissed(rows []BoundResult) int {
	missed := 0
	for _, r := range rows {
		if !r.Met {
			missed++
		}
	}
	return missed
}

const columnGap = 2

// WriteText writes the rows as a table.
func WriteText(w io.Writer, rows []BoundResult) error {
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, r := range rows {
		verdict := "met"
		if !r.Met {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", r.Name, r.Value, r.Bound, verdict) // Flush tells
	}
	return errors.Wrap(out.Flush(), "write table")
}

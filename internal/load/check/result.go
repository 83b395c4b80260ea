// Package check compares the results of runs with injected faults with their
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
	// Value is the measured value with its unit.
	Value string
	// Bound is the required bound.
	Bound string
	// Met reports whether Value is within Bound.
	Met bool
}

// newMaximumResult returns the result for a count or a time that must not exceed
// its bound.
func newMaximumResult[N int | uint64 | float64](what string, value, bound N, unit string) BoundResult {
	return BoundResult{Name: what, Value: fmt.Sprintf("%v%s", value, unit), Bound: fmt.Sprintf("<= %v%s", bound, unit), Met: value <= bound}
}

// newShareResult returns the result for part of whole, with the minimum share.
func newShareResult(what string, part, whole, least float64) BoundResult {
	got := 1.0
	if whole > 0 {
		got = part / whole
	}
	value := fmt.Sprintf("%.4f (%.0f of %.0f)", got, part, whole)
	return BoundResult{Name: what, Value: value, Bound: fmt.Sprintf(">= %.2f", least), Met: got >= least}
}

// CountMissed counts the results that miss their bounds.
func CountMissed(results []BoundResult) int {
	missed := 0
	for _, r := range results {
		if !r.Met {
			missed++
		}
	}
	return missed
}

const columnGap = 2

// WriteText writes the results as a table.
func WriteText(w io.Writer, results []BoundResult) error {
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, r := range results {
		verdict := "met"
		if !r.Met {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\n", r.Name, r.Value, r.Bound, verdict) // Flush returns the error
	}
	return errors.Wrap(out.Flush(), "write table")
}

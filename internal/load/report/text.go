package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// table writes aligned columns and stores the first error.
type table struct {
	w   *tabwriter.Writer
	err error
}

const columnGap = 2

func newTable(w io.Writer) *table {
	return &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
}

func (t *table) row(cells ...string) {
	if t.err == nil {
		_, t.err = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
	}
}

func (t *table) flush() error {
	if t.err == nil {
		t.err = t.w.Flush()
	}
	return errors.Wrap(t.err, "write table")
}

// WriteText writes a report as readable text.
func (r *Report) WriteText(w io.Writer) error {
	return WriteComparison(w, []*Report{r})
}

// WriteComparison writes the figures of several reports, grouped by phase and class.
func WriteComparison(w io.Writer, reports []*Report) error {
	t := newTable(w)
	t.row("phase", "class", "run", "offered/s", "good/s", "good", "of ideal", "p50 ms", "p99 ms", "sends/request", "other endings")
	for p := range reports[0].Phases {
		for c := range reports[0].Phases[p].Classes {
			for _, r := range reports {
				t.phaseRow(r, p, c)
			}
		}
	}
	if err := t.flush(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return errors.Wrap(err, "write table")
	}
	t = newTable(w)
	if len(reports[0].Overloads) > 0 {
		t.overloadRows(reports)
		t.row("")
	}
	t.row("run", "recovery", "relapses", "extra attempts/request", "most of one", "wasted", "wasted after end", "run twice", "wrong not-run", "load tool's lag p99")
	for _, r := range reports {
		t.totalRow(r)
	}
	t.row("")
	t.boundRows(reports)
	return t.flush()
}

// CheckComparable reports an error unless the reports are of the same experiment.
func CheckComparable(reports []*Report) error {
	if len(reports) == 0 {
		return errors.New("no reports to compare")
	}
	first := reports[0]
	for _, r := range reports[1:] {
		if len(r.Phases) != len(first.Phases) || len(r.Overloads) != len(first.Overloads) || r.Name != first.Name || r.Seed != first.Seed {
			return errors.Errorf("report %q is of %s with seed %d, report %q of %s with seed %d",
				first.Label, first.Name, first.Seed, r.Label, r.Name, r.Seed)
		}
		for p := range r.Phases {
			if len(r.Phases[p].Classes) != len(first.Phases[p].Classes) {
				return errors.Errorf("reports %q and %q have different classes", first.Label, r.Label)
			}
		}
	}
	return nil
}

func (t *table) phaseRow(r *Report, phase, class int) {
	p := &r.Phases[phase]
	c := &p.Classes[class]
	t.row(p.Name, c.Class, r.Label,
		fmt.Sprintf("%.1f", c.OfferedPerSecond),
		fmt.Sprintf("%.1f", c.GoodPerSecond),
		fmt.Sprintf("%.3f", c.GoodShare),
		c.idealShareText(),
		fmt.Sprintf("%.1f", c.P50Ms),
		fmt.Sprintf("%.1f", c.P99Ms),
		fmt.Sprintf("%.2f", c.SendsPerRequest),
		formatOutcomeCounts(c.OutcomeCounts))
}

func (c *ClassResult) idealShareText() string {
	if c.IdealPerSecond == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", c.IdealShare)
}

// maxShownOutcomes limits the outcomes shown in a row; the JSON report has them all.
const maxShownOutcomes = 3

// formatOutcomeCounts returns the most frequent outcomes other than complete answers.
func formatOutcomeCounts(all []OutcomeCount) string {
	var parts []string
	others := 0
	for _, e := range all {
		switch {
		case e.Label == string(outcome.Complete):
		case len(parts) < maxShownOutcomes:
			parts = append(parts, fmt.Sprintf("%s/%s %d", e.Label, e.Ran, e.Count))
		default:
			others += e.Count
		}
	}
	if others > 0 {
		parts = append(parts, fmt.Sprintf("others %d", others))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// overloadRows writes the figures of each overload and the recovery from it.
func (t *table) overloadRows(reports []*Report) {
	t.row("overload", "class", "run", "of ideal", "recovery", "relapses", "level later", "p99 before", "p99 later", "later/before")
	for i := range reports[0].Overloads {
		for c := range reports[0].Overloads[i].Classes {
			for _, r := range reports {
				t.overloadRow(r, &r.Overloads[i], c)
			}
		}
	}
}

func (t *table) overloadRow(r *Report, o *Overload, class int) {
	phase, c := &r.Phases[o.Phase], &o.Classes[class]
	ofIdeal := phase.IdealShare()
	if class > 0 {
		ofIdeal = phase.Classes[class-1].IdealShare
	}
	t.row(phase.Name, c.Class, r.Label,
		fmt.Sprintf("%.3f", ofIdeal),
		c.Recovery.text(),
		fmt.Sprintf("%d of %d", c.Recovery.Relapses, c.Recovery.Windows),
		fmt.Sprintf("%.3f", c.AfterShare),
		fmt.Sprintf("%.1f", c.P99BeforeMs),
		fmt.Sprintf("%.1f", c.P99AfterMs),
		fmt.Sprintf("%.2f", c.P99Ratio()))
}

func (t *table) totalRow(r *Report) {
	extra, most, wasted, afterEnd, duplicates, wrong := "-", "-", "-", "-", "-", "-"
	if r.EndpointLogSummary != nil {
		extra = fmt.Sprintf("%.3f", perRequest(r.EndpointLogSummary.ExtraAttempts, r.EndpointLogSummary.Requests))
		most = fmt.Sprint(r.EndpointLogSummary.MaxExtraAttempts)
		wasted = fmt.Sprintf("%.3f", r.EndpointLogSummary.WastedShare)
		afterEnd = fmt.Sprintf("%.3f", r.EndpointLogSummary.WastedAfterEndShare)
		duplicates = fmt.Sprint(r.EndpointLogSummary.DuplicateRuns)
		wrong = fmt.Sprint(r.EndpointLogSummary.WrongNotRun)
	}
	label := r.Label
	if r.Stopped {
		label += " (stopped early)"
	}
	t.row(label, r.Recovery.text(), fmt.Sprintf("%d of %d", r.Recovery.Relapses, r.Recovery.Windows),
		extra, most, wasted, afterEnd, duplicates, wrong, fmt.Sprintf("%.1f ms", r.SendLagP99Ms))
}

func perRequest(count, requests int) float64 {
	if requests == 0 {
		return 0
	}
	return float64(count) / float64(requests)
}

func (r Recovery) text() string {
	switch {
	case !r.Measured:
		return "-"
	case r.Recovered:
		return fmt.Sprintf("%.1f s", float64(r.DurationMs)/1000)
	default:
		return fmt.Sprintf("not within %.1f s", float64(r.DurationMs)/1000)
	}
}

package report

import (
	"fmt"
	"io"
	"slices"
)

// WriteSpread writes the least, the middle and the largest of each figure over
// several runs of one experiment. Runs differ although their arrivals don't.
func WriteSpread(w io.Writer, reports []*Report) error {
	t := newTable(w)
	t.row("least / median / most of "+fmt.Sprint(len(reports)), "good", "of ideal", "p50 ms", "p99 ms", "sends/request")
	for p := range reports[0].Phases {
		for c := range reports[0].Phases[p].Classes {
			t.spreadRow(reports, p, c)
		}
	}
	t.row("")
	t.row("recovery, s", spreadOf(reports, "%.1f", func(r *Report) float64 { return float64(r.Recovery.DurationMs) / 1000 }),
		fmt.Sprintf("%d not within the run", countOf(reports, func(r *Report) bool { return r.Recovery.Measured && !r.Recovery.Recovered })))
	t.row("load tool's lag p99, ms", spreadOf(reports, "%.1f", func(r *Report) float64 { return r.SendLagP99Ms }))
	if countOf(reports, func(r *Report) bool { return r.EndpointLogSummary == nil }) == 0 {
		t.truthRows(reports)
	}
	return t.flush()
}

func (t *table) spreadRow(reports []*Report, phase, class int) {
	of := func(r *Report) *ClassResult { return &r.Phases[phase].Classes[class] }
	t.row(reports[0].Phases[phase].Name+" "+of(reports[0]).Class,
		spreadOf(reports, "%.3f", func(r *Report) float64 { return of(r).GoodShare }),
		spreadOf(reports, "%.3f", func(r *Report) float64 { return of(r).IdealShare }),
		spreadOf(reports, "%.0f", func(r *Report) float64 { return of(r).P50Ms }),
		spreadOf(reports, "%.0f", func(r *Report) float64 { return of(r).P99Ms }),
		spreadOf(reports, "%.2f", func(r *Report) float64 { return of(r).SendsPerRequest }))
}

func (t *table) truthRows(reports []*Report) {
	t.row("extra attempts/request", spreadOf(reports, "%.3f", func(r *Report) float64 {
		return perRequest(r.EndpointLogSummary.ExtraAttempts, r.EndpointLogSummary.Requests)
	}))
	t.row("most extra attempts of one", spreadOf(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.MaxExtraAttempts) }))
	t.row("wasted", spreadOf(reports, "%.3f", func(r *Report) float64 { return r.EndpointLogSummary.WastedShare }))
	t.row("run twice", spreadOf(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.DuplicateRuns) }))
	t.row("wrong not-run", spreadOf(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.WrongNotRun) }))
}

// spreadOf returns the least, the middle and the largest value as text. Of an
// even number of values the middle is the lower one of two.
func spreadOf(reports []*Report, format string, value func(*Report) float64) string {
	values := make([]float64, 0, len(reports))
	for _, r := range reports {
		values = append(values, value(r))
	}
	slices.Sort(values)
	three := format + " / " + format + " / " + format
	return fmt.Sprintf(three, values[0], values[(len(values)-1)/2], values[len(values)-1])
}

func countOf(reports []*Report, is func(*Report) bool) int {
	count := 0
	for _, r := range reports {
		if is(r) {
			count++
		}
	}
	return count
}

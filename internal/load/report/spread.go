package report

import (
	"fmt"
	"io"
	"slices"
)

// WriteSpread writes the minimum, the median and the maximum of each figure over
// several runs of one experiment. Runs differ although their arrivals are the same.
func WriteSpread(w io.Writer, reports []*Report) error {
	t := newTable(w)
	t.row("least / median / most of "+fmt.Sprint(len(reports)), "good", "of ideal", "p50 ms", "p99 ms", "sends/request")
	for p := range reports[0].Phases {
		for c := range reports[0].Phases[p].Classes {
			t.spreadRow(reports, p, c)
		}
	}
	t.row("")
	t.row("recovery, s", formatSpread(reports, "%.1f", func(r *Report) float64 { return float64(r.Recovery.DurationMs) / 1000 }),
		fmt.Sprintf("%d not within the run", countReports(reports, func(r *Report) bool { return r.Recovery.Measured && !r.Recovery.Recovered })))
	t.row("load tool's lag p99, ms", formatSpread(reports, "%.1f", func(r *Report) float64 { return r.SendLagP99Ms }))
	if countReports(reports, func(r *Report) bool { return r.EndpointLogSummary == nil }) == 0 {
		t.endpointLogRows(reports)
	}
	return t.flush()
}

func (t *table) spreadRow(reports []*Report, phase, class int) {
	of := func(r *Report) *ClassResult { return &r.Phases[phase].Classes[class] }
	t.row(reports[0].Phases[phase].Name+" "+of(reports[0]).Class,
		formatSpread(reports, "%.3f", func(r *Report) float64 { return of(r).GoodShare }),
		formatSpread(reports, "%.3f", func(r *Report) float64 { return of(r).IdealShare }),
		formatSpread(reports, "%.0f", func(r *Report) float64 { return of(r).P50Ms }),
		formatSpread(reports, "%.0f", func(r *Report) float64 { return of(r).P99Ms }),
		formatSpread(reports, "%.2f", func(r *Report) float64 { return of(r).SendsPerRequest }))
}

func (t *table) endpointLogRows(reports []*Report) {
	t.row("extra attempts/request", formatSpread(reports, "%.3f", func(r *Report) float64 {
		return perRequest(r.EndpointLogSummary.ExtraAttempts, r.EndpointLogSummary.Requests)
	}))
	t.row("most extra attempts of one", formatSpread(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.MaxExtraAttempts) }))
	t.row("wasted", formatSpread(reports, "%.3f", func(r *Report) float64 { return r.EndpointLogSummary.WastedShare }))
	t.row("run twice", formatSpread(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.DuplicateRuns) }))
	t.row("wrong not-run", formatSpread(reports, "%.0f", func(r *Report) float64 { return float64(r.EndpointLogSummary.WrongNotRun) }))
}

// formatSpread returns the minimum, the median and the maximum as text. Of an even
// number of values the median is the lower middle one.
func formatSpread(reports []*Report, format string, value func(*Report) float64) string {
	values := make([]float64, 0, len(reports))
	for _, r := range reports {
		values = append(values, value(r))
	}
	slices.Sort(values)
	three := format + " / " + format + " / " + format
	return fmt.Sprintf(three, values[0], values[(len(values)-1)/2], values[len(values)-1])
}

func countReports(reports []*Report, is func(*Report) bool) int {
	count := 0
	for _, r := range reports {
		if is(r) {
			count++
		}
	}
	return count
}

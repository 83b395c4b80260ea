package report

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// Range and precision of latency histograms; the range is in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// Quantiles in reports, in percent.
const (
	quantile50 = 50
	quantile90 = 90
	quantile99 = 99
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	_ = h.RecordValue(micros) // never fails: the value is clamped above
}

func quantileMs(h *hdrhistogram.Histogram, quantile float64) float64 {
	return ms(h.ValueAtQuantile(quantile))
}

func ms(micros int64) float64 {
	return float64(micros) / 1000
}

// tally accumulates the requests of one class in one phase.
type tally struct {
	offered       int
	good          int
	sends         int
	latency       *hdrhistogram.Histogram
	outcomeCounts map[OutcomeCount]int // Count is 0 in the keys
}

func newTally() *tally {
	return &tally{latency: newHistogram(), outcomeCounts: map[OutcomeCount]int{}}
}

func (t *tally) add(o *outcome.Outcome) {
	t.offered++
	t.sends += o.Sends
	t.outcomeCounts[OutcomeCount{Label: o.Label(), Ran: o.Ran}]++
	if o.Result == outcome.Complete {
		t.good++
		recordLatency(t.latency, o.Latency())
	}
}

func (t *tally) result(class string, length time.Duration) ClassResult {
	r := ClassResult{
		Class:            class,
		Offered:          t.offered,
		Good:             t.good,
		OfferedPerSecond: float64(t.offered) / length.Seconds(),
		GoodPerSecond:    float64(t.good) / length.Seconds(),
		GoodShare:        share(t.good, t.offered),
		P50Ms:            quantileMs(t.latency, quantile50),
		P90Ms:            quantileMs(t.latency, quantile90),
		P99Ms:            quantileMs(t.latency, quantile99),
		MaxMs:            ms(t.latency.Max()),
	}
	if t.offered > 0 {
		r.SendsPerRequest = float64(t.sends) / float64(t.offered)
	}
	for e, count := range t.outcomeCounts {
		e.Count = count
		r.OutcomeCounts = append(r.OutcomeCounts, e)
	}
	slices.SortFunc(r.OutcomeCounts, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Label, b.Label), cmp.Compare(a.Ran, b.Ran))
	})
	return r
}

// share returns part/whole, or 1 when whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

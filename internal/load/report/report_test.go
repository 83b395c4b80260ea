package report

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// threePhases lasts 2 s steady, 2 s overloaded and 5 s in recovery.
func threePhases() *experiment.Experiment {
	return &experiment.Experiment{Name: "test", Seed: 1, Phases: []experiment.Phase{
		{Name: "before", Kind: experiment.Steady, DurationMs: 2000},
		{Name: "during", Kind: experiment.Overload, DurationMs: 2000},
		{Name: "after", Kind: experiment.Recovery, DurationMs: 5000},
	}}
}

// evenOutcomes returns 100 outcomes a second over all phases. good selects those
// that succeed.
func evenOutcomes(good func(at time.Duration) bool) []outcome.Outcome {
	var all []outcome.Outcome
	for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
		o := outcome.Outcome{
			Class: "booking", ArrivalNs: int64(at), LatencyNs: int64(20 * time.Millisecond),
			Phase: min(int(at/(2*time.Second)), 2), Result: outcome.Complete, Ran: "yes", Sends: 1,
		}
		if !good(at) {
			o.Result, o.Kind, o.Ran, o.Sends = outcome.Refused, "overloaded", "no", 3
		}
		all = append(all, o)
	}
	return all
}

func input(good func(at time.Duration) bool) Input {
	return Input{Label: "x", Experiment: threePhases(), Classes: []string{"booking", "lookup"}, Outcomes: evenOutcomes(good)}
}

func TestRecovery(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	cases := []struct {
		desc string
		good func(at time.Duration) bool
		want Recovery
	}{
		{
			"immediate", func(at time.Duration) bool { return at < ms(2000) || at >= ms(4000) },
			Recovery{Measured: true, SteadyShare: 1, Recovered: true, DurationMs: 0, Windows: 40},
		},
		{
			"after 1.5 s", func(at time.Duration) bool { return at < ms(2000) || at >= ms(5500) },
			Recovery{Measured: true, SteadyShare: 1, Recovered: true, DurationMs: 1500, Windows: 25},
		},
		{
			"one bad request in a hundred is still 0.99", func(at time.Duration) bool { return at < ms(2000) || at >= ms(4000) && at%ms(1000) != 0 },
			Recovery{Measured: true, SteadyShare: 1, Recovered: true, DurationMs: 0, Windows: 40},
		},
		{
			"two bad requests in a hundred are below 0.99", func(at time.Duration) bool { return at < ms(2000) || at >= ms(4000) && at%ms(500) != 0 },
			Recovery{Measured: true, SteadyShare: 1, Recovered: false, DurationMs: 4000},
		},
		{
			"compared with a steady level below 1", func(at time.Duration) bool { return at%ms(20) == 0 },
			Recovery{Measured: true, SteadyShare: 0.5, Recovered: true, DurationMs: 0, Windows: 40},
		},
		{
			"a relapse", func(at time.Duration) bool {
				return at < ms(2000) || at >= ms(4000) && (at < ms(7000) || at >= ms(7020))
			},
			Recovery{Measured: true, SteadyShare: 1, Recovered: true, DurationMs: 0, Windows: 40, Relapses: 10},
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			require.Equal(t, c.want, New(input(c.good)).Recovery)
		})
	}
}

func TestRecoveryRequiresAllPhases(t *testing.T) {
	for _, drop := range []int{0, 1, 2} {
		in := input(func(time.Duration) bool { return true })
		in.Experiment.Phases = append(in.Experiment.Phases[:drop:drop], in.Experiment.Phases[drop+1:]...)
		require.False(t, New(in).Recovery.Measured, "without phase %d", drop)
	}
}

// TestTwoOverloads runs the three phases, and then repeats the last two.
func TestTwoOverloads(t *testing.T) {
	in := input(func(at time.Duration) bool { return at < 2*time.Second || at >= 4500*time.Millisecond })
	in.Experiment.Phases = append(in.Experiment.Phases, in.Experiment.Phases[1], in.Experiment.Phases[2])
	in.Experiment.Phases[3].Name, in.Experiment.Phases[3].Slow = "again", []experiment.Slow{{Service: "stock", Factor: 5}}
	last := in.Outcomes[len(in.Outcomes)-1]
	for i := range 700 { // after the second overload each request is slow, and every second one fails
		o := last
		o.ArrivalNs = int64(9*time.Second) + int64(i)*int64(10*time.Millisecond)
		o.LatencyNs, o.Phase = int64(40*time.Millisecond), 3+min(i/200, 1)
		if i%2 == 0 {
			o.Result = outcome.Refused
		}
		in.Outcomes = append(in.Outcomes, o)
	}
	for i := range in.Outcomes {
		in.Outcomes[i].Route = "r"
	}
	r := New(in)
	require.NoError(t, r.AddIdeal(in, func(*experiment.Phase) ([]ideal.Rate, error) {
		return []ideal.Rate{{Class: "booking", PerSecond: 100}}, nil
	}))
	require.Len(t, r.Overloads, 2)
	first, second := r.Overloads[0].Classes[1], r.Overloads[1].Classes[1]
	require.Equal(t, "booking", first.Class)
	require.Equal(t, Recovery{Measured: true, SteadyShare: 1, Recovered: true, DurationMs: 500, Windows: 35}, first.Recovery)
	require.InDelta(t, 1, first.AfterShare, 1e-9)
	require.InDelta(t, 1, first.P99Ratio(), 0.01)
	require.False(t, second.Recovery.Recovered)
	require.InDelta(t, 0.5, second.AfterShare, 1e-9)
	require.InDelta(t, 2, second.P99Ratio(), 0.01)
	require.Equal(t, r.Overloads[1].Classes[0].Recovery, r.Recovery)

	r.EndpointLogSummary, r.RetryBudget, r.PriorityInversions = &EndpointLogSummary{MaxExtraAttempts: 4, WastedAfterEndShare: 0.02}, 3, &PriorityInversions{Violations: 1}
	verdicts := map[string]bool{}
	for _, c := range r.Checks() {
		verdicts[c.Name] = c.Met
	}
	for name, met := range map[string]bool{
		"during: goodput of ideal ≥ 0.95":                       false, // caused by arrivals alone
		"after during: booking back within 1.0 s":               true,
		"after during: booking later, of level before ≥ 0.99":   true,
		"after during: booking p99 over before ≤ 1.5":           true,
		"again: goodput of ideal ≥ 0.90":                        false, // with a slowed service
		"again: booking of offered ≥ 0.99":                      false,
		"after again: all back within 1.0 s":                    false,
		"after again: booking later, of level before ≥ 0.99":    false,
		"after again: booking p99 over before ≤ 1.5":            false,
		"wasted after end ≤ 0.02":                               true,
		"calls run twice = 0":                                   true,
		"most extra attempts of one ≤ 3":                        false,
		"refused, while a later one of less importance ran = 0": false,
	} {
		got, found := verdicts[name]
		require.True(t, found, name)
		require.Equal(t, met, got, name)
	}
	var out bytes.Buffer
	require.NoError(t, WriteComparison(&out, []*Report{r, r}))
	require.Regexp(t, `wasted after end ≤ 0.02 +0.020 met +0.020 met`, out.String())
	require.Regexp(t, `again +booking +x +0.500 +not within 4.0 s`, out.String())
}

func TestPhaseFigures(t *testing.T) {
	in := input(func(at time.Duration) bool { return at < 2*time.Second || at%(40*time.Millisecond) == 0 })
	in.Outcomes[0].LatencyNs = int64(2 * time.Second) // the slowest of the first phase
	r := New(in)
	before, during := r.Phases[0].Classes[0], r.Phases[1].Classes[0]
	require.Equal(t, 200, before.Good)
	require.InDelta(t, 100, before.GoodPerSecond, 1e-9)
	require.InDelta(t, 20, before.P99Ms, 0.1)
	require.InDelta(t, 2000, before.MaxMs, 2)
	require.Equal(t, []OutcomeCount{{Label: "whole", Ran: "yes", Count: 200}}, before.OutcomeCounts)
	require.Equal(t, 50, during.Good)
	require.InDelta(t, 0.25, during.GoodShare, 1e-9)
	require.InDelta(t, 2.5, during.SendsPerRequest, 1e-9)
	require.Equal(t, []OutcomeCount{{Label: "overloaded", Ran: "no", Count: 150}, {Label: "whole", Ran: "yes", Count: 50}}, during.OutcomeCounts)
	require.Equal(t, []int64{2000, 4000}, []int64{r.Phases[1].StartMs, r.Phases[1].EndMs})

	lookups := r.Phases[0].Classes[1]
	require.Zero(t, lookups.Offered)
	require.InDelta(t, 1, lookups.GoodShare, 0, "1 without any request")
}

// TestSumsAgree checks that phases and series have the same totals.
func TestSumsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		period := rapid.IntRange(1, 7).Draw(t, "period")
		in := input(func(at time.Duration) bool { return int(at/(10*time.Millisecond))%period == 0 })
		r := New(in)
		offered, good := 0, 0
		for _, p := range r.Phases {
			for _, c := range p.Classes {
				offered, good = offered+c.Offered, good+c.Good
			}
		}
		for _, p := range r.Series {
			offered, good = offered-p.Offered, good-p.Good
		}
		require.Zero(t, offered)
		require.Zero(t, good)
		require.Len(t, r.Series, 2*18)
	})
}

func TestReportFileAndTable(t *testing.T) {
	r := New(input(func(at time.Duration) bool { return at < 2*time.Second || at >= 4500*time.Millisecond }))
	r.Phases[0].Classes[0].setIdeal([]ideal.Rate{{Class: "booking", PerSecond: 200}}, 100)
	r.EndpointLogSummary = &EndpointLogSummary{Requests: 4, ExtraAttempts: 2, MaxExtraAttempts: 2, WastedShare: 0.125}
	file := filepath.Join(t.TempDir(), "report.json")
	require.NoError(t, r.WriteFile(file))
	again, err := ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, r, again)

	other := New(input(func(time.Duration) bool { return false }))
	other.Label, other.Stopped = "y", true
	var out bytes.Buffer
	require.NoError(t, WriteComparison(&out, []*Report{r, other}))
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"before booking x 100.0 100.0 1.000 0.500 20.0 20.0 1.00 -",
		"during booking y 100.0 0.0 0.000 - 0.0 0.0 3.00 overloaded/no 200",
		"x 0.5 s 0 of 35 0.500 2 0.125",
		"y (stopped early) - 0 of 0 -",
	} {
		require.Contains(t, text, want)
	}
}

// TestIdealUsesActualArrivals offers 100 requests a second where 10 were planned.
func TestIdealUsesActualArrivals(t *testing.T) {
	in := input(func(at time.Duration) bool { return at%(20*time.Millisecond) == 0 })
	for p := range in.Experiment.Phases {
		in.Experiment.Phases[p].Rates = []experiment.Rate{{Route: "r", PerSecond: 10}}
	}
	for i := range in.Outcomes {
		in.Outcomes[i].Route = "r"
	}
	r := New(in)
	require.NoError(t, r.AddIdeal(in, func(p *experiment.Phase) ([]ideal.Rate, error) {
		return []ideal.Rate{{Class: "booking", PerSecond: p.Rates[0].PerSecond * 0.8}, {Class: "lookup"}}, nil
	}))
	// Of 50 good requests a second, the last of each phase is answered 20 ms
	// later in the next one.
	answered := []float64{99.0 / 2, 100.0 / 2, 251.0 / 5}
	for i, p := range r.Phases {
		require.InDelta(t, 80, p.Classes[0].IdealPerSecond, 1e-9)
		require.InDelta(t, answered[i]/80, p.Classes[0].IdealShare, 1e-9)
		require.Zero(t, p.Classes[1].IdealShare)
	}
	require.InDelta(t, 10, in.Experiment.Phases[0].Rates[0].PerSecond, 0, "the experiment is not modified")
	require.Error(t, r.AddIdeal(in, func(*experiment.Phase) ([]ideal.Rate, error) { return nil, errors.New("no") }))
}

func TestFormatOutcomeCounts(t *testing.T) {
	all := []OutcomeCount{{"whole", "yes", 90}, {"overloaded", "no", 5}, {"late", "unknown", 4}, {"lost", "no", 3}, {"lost", "unknown", 2}, {"failed", "yes", 1}}
	require.Equal(t, "overloaded/no 5, late/unknown 4, lost/no 3, others 3", formatOutcomeCounts(all))
	require.Equal(t, "-", formatOutcomeCounts(all[:1]))
}

func TestSpread(t *testing.T) {
	var reports []*Report
	for i, period := range []time.Duration{40, 10, 20} {
		r := New(input(func(at time.Duration) bool { return at%(period*time.Millisecond) == 0 }))
		r.EndpointLogSummary = &EndpointLogSummary{Requests: 10, ExtraAttempts: i}
		reports = append(reports, r)
	}
	reports[0].Recovery.Recovered = false
	var out bytes.Buffer
	require.NoError(t, WriteSpread(&out, reports))
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{
		"least / median / most of 3",
		"during booking 0.250 / 0.500 / 1.000",
		"recovery, s 0.0 / 0.0 / 0.0 1 not within the run",
		"extra attempts/request 0.000 / 0.100 / 0.200",
	} {
		require.Contains(t, text, want)
	}
}

func TestComparable(t *testing.T) {
	always := func(time.Duration) bool { return true }
	a, b := New(input(always)), New(input(always))
	require.NoError(t, CheckComparable([]*Report{a, b}))
	require.Error(t, CheckComparable(nil))
	b.Seed = 2
	require.ErrorContains(t, CheckComparable([]*Report{a, b}), "seed 2")
	b = New(input(always))
	b.Phases = b.Phases[1:]
	require.Error(t, CheckComparable([]*Report{a, b}))
	b = New(input(always))
	b.Phases[0].Classes = nil
	require.ErrorContains(t, CheckComparable([]*Report{a, b}), "classes")
}

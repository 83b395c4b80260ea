package report

import "fmt"

// Bounds of a run.
const (
	// slowedOfIdeal is the least goodput, as a share of the ideal, while a
	// service is slowed down.
	slowedOfIdeal = 0.9
	// surgeOfIdeal is the same in an overload by arrivals alone.
	surgeOfIdeal = 0.95
	// firstClassOfOffered is the least share of good requests of the most
	// important class while it fits by itself.
	firstClassOfOffered = 0.99
	// fitsShare is the part of the offered requests that the ideal must reach
	// for the class to count as one that fits.
	fitsShare = 0.999
	// p99RatioMax bounds latency after an overload over that before.
	p99RatioMax = 1.5
	// wastedMax bounds the share of endpoint time spent on requests that had
	// ended.
	wastedMax = 0.02
)

// Check is one bound and what a run has to say to it.
type Check struct {
	// Name says what is bounded, with the bound.
	Name string `json:"name"`
	// Value is what the run gave, as text.
	Value string `json:"value"`
	// Met says that the bound holds.
	Met bool `json:"met"`
}

// Checks compares a report with the bounds that its experiment allows to check.
// Reports of one experiment have the same checks in the same order, provided
// that all or none have read the endpoints' logs.
func (r *Report) Checks() []Check {
	var all []Check
	for i := range r.Overloads {
		all = append(all, r.checkDuring(&r.Overloads[i])...)
		all = append(all, r.checkAfter(&r.Overloads[i])...)
	}
	if r.EndpointLogSummary != nil {
		all = append(all, r.EndpointLogSummary.checks(r.RetryBudget)...)
	}
	if r.PriorityInversions != nil {
		all = append(all, none("refused, while a later one of less importance ran", r.PriorityInversions.Violations))
	}
	return all
}

// checkDuring checks the goodput in an overload.
func (r *Report) checkDuring(o *Overload) []Check {
	phase := &r.Phases[o.Phase]
	least := surgeOfIdeal
	if o.Slowed {
		least = slowedOfIdeal
	}
	all := []Check{atLeast(phase.Name+": goodput of ideal", phase.IdealShare(), least)}
	if len(phase.Classes) == 0 {
		return all
	}
	if first := &phase.Classes[0]; first.IdealPerSecond >= fitsShare*first.OfferedPerSecond {
		all = append(all, atLeast(phase.Name+": "+first.Class+" of offered", first.GoodShare, firstClassOfOffered))
	}
	return all
}

// checkAfter checks what follows an overload.
func (r *Report) checkAfter(o *Overload) []Check {
	var all []Check
	for i := range o.Classes {
		c := &o.Classes[i]
		if !c.Recovery.Measured {
			continue
		}
		name := "after " + r.Phases[o.Phase].Name + ": " + c.Class
		all = append(all,
			Check{
				Name:  fmt.Sprintf("%s back within %.1f s", name, RecoveryBound.Seconds()),
				Value: c.Recovery.text(),
				Met:   c.Recovery.Recovered && c.Recovery.DurationMs <= RecoveryBound.Milliseconds(),
			},
			atLeast(name+" later, of level before", c.AfterShare/c.Recovery.SteadyShare, RecoveryLevel),
			Check{
				Name:  fmt.Sprintf("%s p99 over before ≤ %.1f", name, p99RatioMax),
				Value: fmt.Sprintf("%.2f", c.P99Ratio()),
				Met:   c.P99Ratio() > 0 && c.P99Ratio() <= p99RatioMax,
			})
	}
	return all
}

// checks checks what the endpoints' logs say. budget is the number of extra
// attempts that one request may cause; 0 is not checked.
func (t *EndpointLogSummary) checks(budget int) []Check {
	all := []Check{
		{
			Name:  fmt.Sprintf("wasted after end ≤ %.2f", wastedMax),
			Value: fmt.Sprintf("%.3f", t.WastedAfterEndShare),
			Met:   t.WastedAfterEndShare <= wastedMax,
		},
		none("calls run twice", t.DuplicateRuns),
		none("wrong not-run", t.WrongNotRun),
	}
	if budget > 0 {
		all = append(all, Check{
			Name:  fmt.Sprintf("most extra attempts of one ≤ %d", budget),
			Value: fmt.Sprint(t.MaxExtraAttempts),
			Met:   t.MaxExtraAttempts <= budget,
		})
	}
	return all
}

func atLeast(name string, value, least float64) Check {
	return Check{Name: fmt.Sprintf("%s ≥ %.2f", name, least), Value: fmt.Sprintf("%.3f", value), Met: value >= least}
}

func none(name string, count int) Check {
	return Check{Name: name + " = 0", Value: fmt.Sprint(count), Met: count == 0}
}

// Text returns the value with the verdict.
func (c Check) Text() string {
	if c.Met {
		return c.Value + " met"
	}
	return c.Value + " missed"
}

// boundRows writes a row for each bound, with the verdict on each run.
func (t *table) boundRows(reports []*Report) {
	checks := make([][]Check, 0, len(reports))
	header := []string{"bound"}
	for _, r := range reports {
		header = append(header, r.Label)
		checks = append(checks, r.Checks())
	}
	t.row(header...)
	for i := range checks[0] {
		cells := []string{checks[0][i].Name}
		for _, of := range checks {
			cells = append(cells, verdict(of, checks[0][i].Name))
		}
		t.row(cells...)
	}
}

// verdict returns the text of the check with a name, or a dash.
func verdict(all []Check, name string) string {
	for _, c := range all {
		if c.Name == name {
			return c.Text()
		}
	}
	return "-"
}

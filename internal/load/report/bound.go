package report

import "fmt"

// Bounds of a run.
const (
	// minIdealShareSlowed is the minimum goodput, as a share of the ideal, while
	// a service is slowed down.
	minIdealShareSlowed = 0.9
	// minIdealShareSurge is the same in an overload caused by arrivals alone.
	minIdealShareSurge = 0.95
	// minFirstClassGoodShare is the minimum share of good requests of the most
	// important class while the capacity suffices for that class.
	minFirstClassGoodShare = 0.99
	// minFeasibleShare is the share of the offered requests that the ideal must
	// reach for the capacity to count as sufficient for the class.
	minFeasibleShare = 0.999
	// maxP99Ratio limits the ratio of the latency after an overload to that before.
	maxP99Ratio = 1.5
	// maxWastedShare limits the share of endpoint time spent on requests that
	// had already ended for their callers.
	maxWastedShare = 0.02
)

// Check is one bound and the value that a run reached.
type Check struct {
	// Name names the bounded figure, with the bound.
	Name string `json:"name"`
	// Value is the measured value, as text.
	Value string `json:"value"`
	// Met reports whether the bound holds.
	Met bool `json:"met"`
}

// Checks compares a report with the bounds that apply to its experiment.
// Reports of one experiment have the same checks in the same order, provided
// that all or none include the endpoints' logs.
func (r *Report) Checks() []Check {
	var all []Check
	for i := range r.Overloads {
		all = append(all, r.checkOverloadGoodput(&r.Overloads[i])...)
		all = append(all, r.checkRecovery(&r.Overloads[i])...)
	}
	if r.EndpointLogSummary != nil {
		all = append(all, r.EndpointLogSummary.checks(r.RetryBudget)...)
	}
	if r.PriorityInversions != nil {
		all = append(all, newZeroCheck("refused, while a later one of less importance ran", r.PriorityInversions.Violations))
	}
	return all
}

// checkOverloadGoodput checks the goodput in an overload.
func (r *Report) checkOverloadGoodput(o *Overload) []Check {
	phase := &r.Phases[o.Phase]
	least := minIdealShareSurge
	if o.Slowed {
		least = minIdealShareSlowed
	}
	all := []Check{newMinimumCheck(phase.Name+": goodput of ideal", phase.IdealShare(), least)}
	if len(phase.Classes) == 0 {
		return all
	}
	if first := &phase.Classes[0]; first.IdealPerSecond >= minFeasibleShare*first.OfferedPerSecond {
		all = append(all, newMinimumCheck(phase.Name+": "+first.Class+" of offered", first.GoodShare, minFirstClassGoodShare))
	}
	return all
}

// checkRecovery checks goodput and latency after an overload.
func (r *Report) checkRecovery(o *Overload) []Check {
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
			newMinimumCheck(name+" later, of level before", c.AfterShare/c.Recovery.SteadyShare, RecoveryLevel),
			Check{
				Name:  fmt.Sprintf("%s p99 over before ≤ %.1f", name, maxP99Ratio),
				Value: fmt.Sprintf("%.2f", c.P99Ratio()),
				Met:   c.P99Ratio() > 0 && c.P99Ratio() <= maxP99Ratio,
			})
	}
	return all
}

// checks checks the figures from the endpoints' logs. budget is the number of
// extra attempts that one request may cause; 0 is not checked.
func (t *EndpointLogSummary) checks(budget int) []Check {
	all := []Check{
		{
			Name:  fmt.Sprintf("wasted after end ≤ %.2f", maxWastedShare),
			Value: fmt.Sprintf("%.3f", t.WastedAfterEndShare),
			Met:   t.WastedAfterEndShare <= maxWastedShare,
		},
		newZeroCheck("calls run twice", t.DuplicateRuns),
		newZeroCheck("wrong not-run", t.WrongNotRun),
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

func newMinimumCheck(name string, value, least float64) Check {
	return Check{Name: fmt.Sprintf("%s ≥ %.2f", name, least), Value: fmt.Sprintf("%.3f", value), Met: value >= least}
}

func newZeroCheck(name string, count int) Check {
	return Check{Name: name + " = 0", Value: fmt.Sprint(count), Met: count == 0}
}

// Text returns the value, followed by "met" or "missed".
func (c Check) Text() string {
	if c.Met {
		return c.Value + " met"
	}
	return c.Value + " missed"
}

// boundRows writes a row for each bound, with the value of each run.
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
			cells = append(cells, findVerdict(of, checks[0][i].Name))
		}
		t.row(cells...)
	}
}

// findVerdict returns the text of the named check, or a dash.
func findVerdict(all []Check, name string) string {
	for _, c := range all {
		if c.Name == name {
			return c.Text()
		}
	}
	return "-"
}

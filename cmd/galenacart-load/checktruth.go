package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/load/report"
)

// checkTruthCommand compares what callers were told with what endpoints did.
type checkTruthCommand struct {
	logs logs
}

func (*checkTruthCommand) Name() string { return "check-truth" }
func (*checkTruthCommand) Synopsis() string {
	return "compare what callers were told with the endpoints' logs"
}

func (*checkTruthCommand) Usage() string {
	return `galenacart-load check-truth -answers FILE [-report FILE] TRUTH...
Reads the answers of a run and the logs of all endpoints. Counts calls that must not
repeat and were started twice, requests told "not run" that were run, extra attempts and
wasted endpoint time. -report adds the counts to a report.
Exit codes: 0 nothing run twice or told wrong, 1 something was, 2 bad usage or input.
`
}

func (c *checkTruthCommand) SetFlags(f *flag.FlagSet) {
	c.logs.setFlags(f)
}

// Execute prints the counts.
func (c *checkTruthCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	records, answers, err := c.logs.read(f)
	if err != nil {
		return badUsage(err)
	}
	t := report.NewEndpointLogSummary(records, answers)
	if err := c.logs.addTo(func(r *report.Report) { r.EndpointLogSummary = t }); err != nil {
		return failed(err)
	}
	if err := t.WriteText(os.Stdout); err != nil {
		return failed(err)
	}
	if t.DuplicateRuns+t.WrongNotRun > 0 {
		return failed(fmt.Errorf("%d calls run twice, %d wrong not-run", t.DuplicateRuns, t.WrongNotRun))
	}
	return subcommands.ExitSuccess
}

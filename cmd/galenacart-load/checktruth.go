package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/load/report"
)

// checkTruthCommand compares the answers that clients received with the endpoints' logs.
type checkTruthCommand struct {
	resultFlags resultFlags
}

func (*checkTruthCommand) Name() string { return "check-truth" }
func (*checkTruthCommand) Synopsis() string {
	return "compare the answers that callers received with the endpoints' logs"
}

func (*checkTruthCommand) Usage() string {
	return `galenacart-load check-truth -answers FILE [-report FILE] TRUTH...
Reads the answers of a run and the logs of all endpoints. Counts non-idempotent calls
that were started twice, requests answered as "not run" that were run, extra attempts and
wasted endpoint time. -report adds the counts to a report.
Exit codes: 0 no call run twice or wrongly answered, 1 some, 2 bad usage or input.
`
}

func (c *checkTruthCommand) SetFlags(f *flag.FlagSet) {
	c.resultFlags.setFlags(f)
}

// Execute prints the counts.
func (c *checkTruthCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	records, answers, err := c.resultFlags.read(f)
	if err != nil {
		return badUsage(err)
	}
	summary := report.NewEndpointLogSummary(records, answers)
	if err := c.resultFlags.updateReport(func(r *report.Report) { r.EndpointLogSummary = summary }); err != nil {
		return reportFailure(err)
	}
	if err := summary.WriteText(os.Stdout); err != nil {
		return reportFailure(err)
	}
	if summary.DuplicateRuns+summary.WrongNotRun > 0 {
		return reportFailure(fmt.Errorf("%d calls run twice, %d run although answered as not run", summary.DuplicateRuns, summary.WrongNotRun))
	}
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// checkTruthCommand compares what callers were told with what endpoints did.
type checkTruthCommand struct {
	answers string
	report  string
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
	f.StringVar(&c.answers, "answers", "", "answers `file` of a run (required)")
	f.StringVar(&c.report, "report", "", "report `file` to add the counts to")
}

// Execute prints the counts.
func (c *checkTruthCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return badUsage(errors.New("TRUTH: want the log of at least one endpoint"))
	}
	all, err := outcome.ReadFile(c.answers)
	if err != nil {
		return badUsage(errors.WithMessage(err, "-answers"))
	}
	records, err := truth.ReadFiles(f.Args()...)
	if err != nil {
		return badUsage(err)
	}
	t := report.NewTruth(records, all)
	if err := c.addTo(t); err != nil {
		return failed(err)
	}
	if err := t.WriteText(os.Stdout); err != nil {
		return failed(err)
	}
	if t.DoubleRuns+t.WrongNotRun > 0 {
		return failed(fmt.Errorf("%d calls run twice, %d wrong not-run", t.DoubleRuns, t.WrongNotRun))
	}
	return subcommands.ExitSuccess
}

// addTo puts the counts into the report, if there is one.
func (c *checkTruthCommand) addTo(t *report.Truth) error {
	if c.report == "" {
		return nil
	}
	r, err := report.ReadFile(c.report)
	if err != nil {
		return err
	}
	r.Truth = t
	return r.WriteFile(c.report)
}

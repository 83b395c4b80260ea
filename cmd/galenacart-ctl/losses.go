package main

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/timeline"
)

const (
	// defaultLossStep is the time step of the table.
	defaultLossStep = 2 * time.Second
	// defaultLossRows bounds the rows of each step.
	defaultLossRows = 5
)

// lossesCommand groups lost requests by time, route and cause.
type lossesCommand struct {
	output
	step time.Duration
	rows int
	plot string
}

func (*lossesCommand) Name() string     { return "losses" }
func (*lossesCommand) Synopsis() string { return "group lost requests by time, route and cause" }
func (*lossesCommand) Usage() string {
	return `galenacart-ctl losses [-step TIME] [-rows N] [-plot FILE] CAPTURED
Reads the captured output of all nodes and counts the requests of clients that were
refused or failed: by time, route, reason and the failed call furthest down the
chain. Nodes limit the rate of events; event 3006 counts those that were dropped.
Exit codes: 0 done, even without a loss, 1 failed or no event found, 2 bad usage.
`
}

func (c *lossesCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.step, "step", defaultLossStep, "`time` step of the groups; 0 for a single group")
	f.IntVar(&c.rows, "rows", defaultLossRows, "`number` of rows of each step, the largest groups first")
	f.StringVar(&c.plot, "plot", "", "draw losses over time into a .svg or .png `file`")
}

// Execute reads the events and prints the table.
func (c *lossesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.step < 0 || c.rows < 1 || c.plot != "" && c.step == 0 {
		return c.usageError("losses: want one CAPTURED file, a step that is not negative, at least one row, and a positive step for a plot")
	}
	events, err := readCaptured(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	losses := timeline.GroupLosses(events, c.step)
	if err := timeline.WriteLosses(c.out, losses, c.rows); err != nil {
		return c.fail(err)
	}
	if c.plot == "" {
		return subcommands.ExitSuccess
	}
	err = writeFile(c.plot, func(w io.Writer) error {
		return timeline.DrawLosses(w, c.plot, c.step, losses)
	})
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

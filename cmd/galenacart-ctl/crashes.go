package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/timeline"
)

// defaultSuspectRows bounds the rows of the table.
const defaultSuspectRows = 10

// crashesCommand lists the requests that ran when endpoints crashed.
type crashesCommand struct {
	output
	rows int
}

func (*crashesCommand) Name() string     { return "crashes" }
func (*crashesCommand) Synopsis() string { return "list requests that ran when endpoints crashed" }
func (*crashesCommand) Usage() string {
	return `galenacart-ctl crashes [-rows N] CAPTURED
Reads the captured output of all nodes of the platform and lists the contents of
requests that ran when endpoints crashed, those with the most crashes first. A
content with several crashes is their likely cause.
Exit codes: 0 done, even without a crash, 1 failed or no event found, 2 bad usage.
`
}

func (c *crashesCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.rows, "rows", defaultSuspectRows, "`number` of rows")
}

// Execute reads the events and prints the table.
func (c *crashesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 || c.rows < 1 {
		return c.usageError("crashes: want one CAPTURED file and at least one row")
	}
	events, err := readCaptured(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	if err := timeline.WriteSuspects(c.out, timeline.FindSuspects(events), c.rows); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

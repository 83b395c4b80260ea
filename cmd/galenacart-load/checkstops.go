package main

import (
	"context"
	"flag"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/load/check"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// checkStopsCommand checks a run with planned stops against its bounds.
type checkStopsCommand struct {
	run string
}

func (*checkStopsCommand) Name() string { return "check-stops" }
func (*checkStopsCommand) Synopsis() string {
	return "check a run with planned stops against its bounds"
}

func (*checkStopsCommand) Usage() string {
	return `galenacart-load check-stops -run DIR
Reads the directory of demo/stops.sh: stops.json, answers.jsonl and the endpoints' logs
settings/*/truth-galenacart.jsonl. Prints one table.
Exit codes: 0 all bounds met, 1 one missed, 2 bad usage or input.
`
}

func (c *checkStopsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.run, "run", "", "`directory` of the run (required)")
}

// Execute prints the table.
func (c *checkStopsCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s := &check.Stops{}
	if err := readFaults(filepath.Join(c.run, "stops.json"), &s.Stops); err != nil {
		return badUsage(err)
	}
	var err error
	if s.Outcomes, err = outcome.ReadFile(filepath.Join(c.run, fileAnswers)); err != nil {
		return badUsage(err)
	}
	if s.EndpointLog, _, err = readLogs(c.run); err != nil {
		return badUsage(err)
	}
	return printRows(s.Results())
}

package main

import (
	"context"
	"flag"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/load/check"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// checkPlatformCommand checks a run with failures of the platform against its
// bounds.
type checkPlatformCommand struct {
	deploymentFlags deploymentFlags
	run             string
}

func (*checkPlatformCommand) Name() string { return "check-platform" }
func (*checkPlatformCommand) Synopsis() string {
	return "check a run with failures of the platform against its bounds"
}

func (*checkPlatformCommand) Usage() string {
	return `galenacart-load check-platform -catalogue FILE -deployment FILE -run DIR
Reads the directory of demo/platform.sh: steps.json, answers.jsonl, the event logs
events/*-node.jsonl and the endpoints' logs settings/*/truth-galenacart.jsonl. Prints one
table.
Exit codes: 0 all bounds met, 1 one missed, 2 bad usage or input.
`
}

func (c *checkPlatformCommand) SetFlags(f *flag.FlagSet) {
	c.deploymentFlags.setFlags(f)
	f.StringVar(&c.run, "run", "", "`directory` of the run (required)")
}

// Execute prints the table.
func (c *checkPlatformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	_, deployment, err := c.deploymentFlags.read()
	if err != nil {
		return badUsage(err)
	}
	d := &check.PlatformFailureRun{Deployment: deployment}
	if err := readFaults(filepath.Join(c.run, "steps.json"), &d.Steps); err != nil {
		return badUsage(err)
	}
	if d.Outcomes, err = outcome.ReadFile(filepath.Join(c.run, fileAnswers)); err != nil {
		return badUsage(err)
	}
	if d.EndpointLog, d.Revisions, err = readLogs(c.run); err != nil {
		return badUsage(err)
	}
	return printRows(d.Results())
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/check"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/truth"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxFaultFileBytes = 1 << 20

// checkPartitionCommand checks a run with partitions against its bounds.
type checkPartitionCommand struct {
	deploymentFlags deploymentFlags
	experiment      string
	run             string
}

func (*checkPartitionCommand) Name() string { return "check-partition" }
func (*checkPartitionCommand) Synopsis() string {
	return "check a run with partitions against its bounds"
}

func (*checkPartitionCommand) Usage() string {
	return `galenacart-load check-partition -catalogue FILE -deployment FILE -experiment FILE -run DIR
Reads the directory of demo/partition.sh: cuts.json, ZONE/answers.jsonl, the event logs
events/*-node.jsonl and the endpoints' logs settings/*/truth-galenacart.jsonl. Prints one
table of goodput, failover, convergence and correctness.
Exit codes: 0 all bounds met, 1 one missed, 2 bad usage or input.
`
}

func (c *checkPartitionCommand) SetFlags(f *flag.FlagSet) {
	c.deploymentFlags.setFlags(f)
	f.StringVar(&c.experiment, "experiment", "", "JSON `file` of the load of each availability zone (required)")
	f.StringVar(&c.run, "run", "", "`directory` of the run (required)")
}

// Execute prints the table.
func (c *checkPartitionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	p, err := c.read()
	if err != nil {
		return badUsage(err)
	}
	rows, err := p.Results()
	if err != nil {
		return reportFailure(err)
	}
	return printRows(rows)
}

// printRows prints a table and returns a failure if a bound was missed.
func printRows(rows []check.BoundResult) subcommands.ExitStatus {
	if err := check.WriteText(os.Stdout, rows); err != nil {
		return reportFailure(err)
	}
	if missed := check.CountMissed(rows); missed > 0 {
		return reportFailure(fmt.Errorf("%d bounds missed", missed))
	}
	return subcommands.ExitSuccess
}

func (c *checkPartitionCommand) read() (*check.PartitionRun, error) {
	cat, d, err := c.deploymentFlags.read()
	if err != nil {
		return nil, err
	}
	p := &check.PartitionRun{Catalogue: cat, Deployment: d, Outcomes: map[string][]outcome.Outcome{}}
	if p.Load, err = experiment.ReadFile(c.experiment, cat); err != nil {
		return nil, errors.WithMessage(err, "-experiment")
	}
	if err := readFaults(filepath.Join(c.run, "cuts.json"), &p.Partitions); err != nil {
		return nil, err
	}
	for _, zone := range d.AvailabilityZones {
		if p.Outcomes[zone], err = outcome.ReadFile(filepath.Join(c.run, zone, fileAnswers)); err != nil {
			return nil, err
		}
	}
	p.EndpointLog, p.Revisions, err = readLogs(c.run)
	return p, err
}

// readFaults reads the file in which a script recorded the faults that it injected.
func readFaults(file string, into any) error {
	data, err := strictjson.ReadFile(file, maxFaultFileBytes)
	if err != nil {
		return err
	}
	return strictjson.Decode(file, data, into)
}

// readLogs reads the logs of endpoints and nodes below the directory of a run.
func readLogs(run string) ([]truth.Record, *check.Revisions, error) {
	files, err := filepath.Glob(filepath.Join(run, "settings", "*", "truth-galenacart.jsonl"))
	if err != nil {
		return nil, nil, errors.Wrap(err, "-run")
	}
	records, err := truth.ReadFiles(files...)
	if err != nil {
		return nil, nil, err
	}
	events, err := filepath.Glob(filepath.Join(run, "events", "*-node.jsonl"))
	if err != nil {
		return nil, nil, errors.Wrap(err, "-run")
	}
	revisions, err := check.ReadRevisions(events...)
	return records, revisions, err
}

package main

import (
	"context"
	"encoding/json"
	"flag"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/inspect"
)

// statusCommand shows the state of nodes.
type statusCommand struct {
	output
	statusTargets
	revision uint64
	json     bool
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state of one or all nodes" }
func (*statusCommand) Usage() string {
	return `galenacart-ctl status [-nodes FILE] [-vms FILE -port N] [-revision N | -json] [ADDRESS...]
Shows one row for each node. ADDRESS is a node's status address.
With -revision: on how many nodes of each availability zone that revision of the
catalogue is in force, and why it is not in force on the others.
Exit codes: 0 every node answered (and has the revision or a newer one), 1 otherwise,
2 bad usage.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.Uint64Var(&c.revision, "revision", 0, "`revision` of the catalogue to look for")
	f.BoolVar(&c.json, "json", false, "print the full state of each node as JSON")
}

// Execute queries the nodes and prints one table.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	addresses, err := c.addresses(f.Args())
	if err != nil {
		return c.usageError("status: %v", err)
	}
	client := inspect.NewClient(c.timeout)
	defer client.Close()
	if c.json {
		return c.printJSON(client.Nodes(ctx, addresses))
	}
	answers := client.Summaries(ctx, addresses)
	if c.revision > 0 {
		return c.printRollout(answers)
	}
	if err := inspect.WriteFleet(c.out, answers); err != nil {
		return c.fail(err)
	}
	return exitStatus(inspect.CountFailed(answers) == 0)
}

func (c *statusCommand) printRollout(answers []inspect.Answer) subcommands.ExitStatus {
	rollout := inspect.NewRollout(c.revision, answers)
	if err := rollout.Write(c.out); err != nil {
		return c.fail(err)
	}
	return exitStatus(len(rollout.Missing) == 0)
}

func (c *statusCommand) printJSON(answers []inspect.Answer) subcommands.ExitStatus {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	success := true
	for _, a := range answers {
		if a.Err != nil {
			c.fail(a.Err)
			success = false
			continue
		}
		if err := encoder.Encode(a.Node); err != nil {
			return c.fail(err)
		}
	}
	return exitStatus(success)
}

func exitStatus(success bool) subcommands.ExitStatus {
	if success {
		return subcommands.ExitSuccess
	}
	return subcommands.ExitFailure
}

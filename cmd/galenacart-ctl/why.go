package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/inspect"
	"github.com/galenacart/galenacart/internal/timeline"
)

// whyCommand explains why a call was refused.
type whyCommand struct {
	output
	statusTargets
	captured string
}

func (*whyCommand) Name() string     { return "why" }
func (*whyCommand) Synopsis() string { return "explain why a call was refused" }
func (*whyCommand) Usage() string {
	return `galenacart-ctl why [-nodes FILE] [-vms FILE -port N] CORRELATION [ADDRESS...]
galenacart-ctl why -captured FILE CORRELATION
Shows the refusals of a request that nodes retain, with node, kind and reason, and
its recent events in order. CORRELATION is a field of the answer's problem body.
With -captured it reads the output of all nodes from a file instead, and lists the
failed calls of an endpoint that failed. On the platform CORRELATION is the
request's own ID.
Exit codes: 0 refusals or events found, 1 none found on any node, 2 bad usage.
`
}

func (c *whyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.captured, "captured", "", "`file` with the captured output of all nodes")
}

// Execute queries the nodes and prints the refusals and events of the request.
func (c *whyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		return c.usageError("why: want a CORRELATION and nodes to query")
	}
	if c.captured != "" {
		return c.diagnose(f.Arg(0))
	}
	addresses, err := c.addresses(f.Args()[1:])
	if err != nil {
		return c.usageError("why: %v", err)
	}
	client := inspect.NewClient(c.timeout)
	defer client.Close()
	answers := client.QueryRequest(ctx, f.Arg(0), addresses)
	for _, a := range answers {
		if a.Err != nil {
			c.fail(a.Err)
		}
	}
	history := inspect.NewRequestHistory(answers)
	if history.Empty() {
		c.print("no node has refusals or events of %s (answered: %d of %d); nodes keep only the newest refusals and events",
			f.Arg(0), len(answers)-inspect.CountFailed(answers), len(answers))
		return subcommands.ExitFailure
	}
	if err := history.Write(c.out); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// diagnose prints the diagnosis of a request from the captured output of the nodes.
func (c *whyCommand) diagnose(id string) subcommands.ExitStatus {
	l, err := timeline.ReadFile(c.captured)
	if err != nil {
		return c.fail(err)
	}
	diagnosis := timeline.Diagnose(l.Events, id)
	if diagnosis.Empty() {
		c.print("%s has no event of %s among %d", c.captured, id, len(l.Events))
		return subcommands.ExitFailure
	}
	if err := diagnosis.Write(c.out); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

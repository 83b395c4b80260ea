package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/inspect"
	"github.com/galenacart/galenacart/internal/timeline"
)

// whyCommand tells why a call was refused.
type whyCommand struct {
	terminal
	targets
	captured string
}

func (*whyCommand) Name() string     { return "why" }
func (*whyCommand) Synopsis() string { return "tell why a call was refused" }
func (*whyCommand) Usage() string {
	return `galenacart-ctl why [-nodes FILE] [-vms FILE -port N] CORRELATION [ADDRESS...]
galenacart-ctl why -captured FILE CORRELATION
Shows what nodes still know of a request: who refused it, of which kind and why,
and its recent events in order. CORRELATION stands in the answer's problem body.
With -captured it reads the output of all nodes from a file instead, and names
the failed calls of an endpoint that failed. On the platform CORRELATION is the
request's own ID.
Exit codes: 0 something is known, 1 no node knows of the request, 2 bad usage.
`
}

func (c *whyCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.captured, "captured", "", "`file` with the captured output of all nodes")
}

// Execute asks the nodes and prints what they know.
func (c *whyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 {
		return c.misuse("why: want a CORRELATION and nodes to ask")
	}
	if c.captured != "" {
		return c.explain(f.Arg(0))
	}
	addresses, err := c.addresses(f.Args()[1:])
	if err != nil {
		return c.misuse("why: %v", err)
	}
	client := inspect.NewClient(c.timeout)
	defer client.Close()
	answers := client.QueryRequest(ctx, f.Arg(0), addresses)
	for _, a := range answers {
		if a.Err != nil {
			c.fail(a.Err)
		}
	}
	story := inspect.NewRequestHistory(answers)
	if story.Empty() {
		c.print("no node knows of %s (answered: %d of %d); nodes keep only the newest refusals and events",
			f.Arg(0), len(answers)-inspect.CountFailed(answers), len(answers))
		return subcommands.ExitFailure
	}
	if err := story.Write(c.out); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// explain tells what the captured output of the nodes says about a request.
func (c *whyCommand) explain(id string) subcommands.ExitStatus {
	l, err := timeline.ReadFile(c.captured)
	if err != nil {
		return c.fail(err)
	}
	why := timeline.Diagnose(l.Events, id)
	if why.Empty() {
		c.print("%s has no event of %s among %d", c.captured, id, len(l.Events))
		return subcommands.ExitFailure
	}
	if err := why.Write(c.out); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

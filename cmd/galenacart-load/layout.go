package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/load/layout"
)

// layoutCommand writes the settings of every process of a deployment.
type layoutCommand struct {
	deploymentFlags deploymentFlags
	plan            layout.Plan
	out             string
}

func (*layoutCommand) Name() string { return "layout" }
func (*layoutCommand) Synopsis() string {
	return "write the settings of every process of a deployment"
}

func (*layoutCommand) Usage() string {
	return `galenacart-load layout -catalogue FILE -deployment FILE -out DIR [-network 127.N] [-port-base N] [-relay]
Writes below DIR the settings of the platform stand-in, of every node and of every
endpoint stand-in, the VM list, targets-MODE.json and targets-zone-ZONE.json for the other
commands, with -relay the settings of the relay between availability zones, and
processes-MODE.txt with a line "NAME COMMAND..." for each process. MODE is galenacart,
direct or fixed-limit. Each VM gets its own IP address on the loopback network.
Exit codes: 0 written, 1 failed, 2 bad usage or input.
`
}

func (c *layoutCommand) SetFlags(f *flag.FlagSet) {
	c.deploymentFlags.setFlags(f)
	f.StringVar(&c.out, "out", "", "`directory` to write to (required)")
	f.StringVar(&c.plan.Network, "network", "127.20", "first two `octets` of all IP addresses")
	f.BoolVar(&c.plan.Relay, "relay", false, "connect nodes to each other and to the platform through a relay")
	f.IntVar(&c.plan.DrainLingerMs, "drain-linger-ms", 0, "minimum `milliseconds` for which a stopping endpoint still answers")
	f.IntVar(&c.plan.PortBase, "port-base", 7000, "first `port` of each VM")
}

// Execute writes the layout.
func (c *layoutCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.out == "" {
		return badUsage(fmt.Errorf("-out: want a directory"))
	}
	cat, d, err := c.deploymentFlags.read()
	if err != nil {
		return badUsage(err)
	}
	if err := layout.Write(c.out, c.plan, cat, d); err != nil {
		return reportFailure(err)
	}
	fmt.Println(c.out)
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/settings"
)

// checkCatalogueCommand checks a catalogue as a node would.
type checkCatalogueCommand struct {
	output
}

func (*checkCatalogueCommand) Name() string     { return "check-catalogue" }
func (*checkCatalogueCommand) Synopsis() string { return "check a catalogue as a node would" }
func (*checkCatalogueCommand) Usage() string {
	return `galenacart-ctl check-catalogue FILE
Lists every fault (file, JSON pointer, expected value) and every warning.
Exit codes: 0 a node would accept the catalogue, 1 it would refuse it, 2 bad usage.
`
}
func (*checkCatalogueCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the file.
func (c *checkCatalogueCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError("check-catalogue: want one FILE")
	}
	file := f.Arg(0)
	document, err := catalogue.ReadFile(file)
	if err != nil {
		return c.fail(err)
	}
	for _, w := range document.Warnings() {
		c.print("%s: warning: %s: %s", file, w.Pointer, w.Reason)
	}
	c.print("%s: accepted (classes: %d, services: %d, routes: %d)", file,
		len(document.Classes), len(document.Services), len(document.Routes))
	return subcommands.ExitSuccess
}

// checkSettingsCommand checks the settings of a node.
type checkSettingsCommand struct {
	output
}

func (*checkSettingsCommand) Name() string     { return "check-settings" }
func (*checkSettingsCommand) Synopsis() string { return "check the settings of a node" }
func (*checkSettingsCommand) Usage() string {
	return `galenacart-ctl check-settings FILE
Lists every fault (file, JSON pointer, expected value).
Exit codes: 0 a node would start with the settings, 1 it would not, 2 bad usage.
`
}
func (*checkSettingsCommand) SetFlags(*flag.FlagSet) {}

// Execute checks the file.
func (c *checkSettingsCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return c.usageError("check-settings: want one FILE")
	}
	n, err := settings.ReadFile(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	c.print("%s: accepted: VM %s, service %s, availability zone %s", f.Arg(0), n.VM, n.Service, n.AvailabilityZone)
	return subcommands.ExitSuccess
}

// diffCommand compares two catalogues.
type diffCommand struct {
	output
}

func (*diffCommand) Name() string     { return "diff" }
func (*diffCommand) Synopsis() string { return "list the differences between two catalogues" }
func (*diffCommand) Usage() string {
	return `galenacart-ctl diff OLD NEW
Lists the differences, entry by entry. Both files must be valid.
Exit codes: 0 compared, 1 a file is not valid, 2 bad usage.
`
}
func (*diffCommand) SetFlags(*flag.FlagSet) {}

// Execute compares the files.
func (c *diffCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 2 {
		return c.usageError("diff: want OLD and NEW")
	}
	before, err := catalogue.ReadFile(f.Arg(0))
	if err != nil {
		return c.fail(err)
	}
	after, err := catalogue.ReadFile(f.Arg(1))
	if err != nil {
		return c.fail(err)
	}
	changes := catalogue.Diff(before, after)
	for _, change := range changes {
		c.print("%s", change)
		if risk := change.Risk(); risk != "" {
			c.print("  risk: %s", risk)
		}
	}
	if len(changes) == 0 {
		c.print("no difference")
	}
	return subcommands.ExitSuccess
}

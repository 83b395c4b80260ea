// Command galenacart-node is the proxy process that runs on every endpoint VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/node"
	"github.com/galenacart/galenacart/internal/program"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/version"
)

// programName is the name of the command.
const programName = "galenacart-node"

func main() {
	os.Exit(program.New(programName).Run(os.Args[1:], register))
}

func register(commander *subcommands.Commander) {
	commander.Register(&runCommand{}, "")
	commander.Register(&serveCommand{}, "")
	commander.Register(&checkCommand{}, "")
}

// runCommand runs a node until SIGTERM, which starts the planned stop.
type runCommand struct {
	settings string
}

// Name returns the command's name.
func (*runCommand) Name() string { return "run" }

// Synopsis returns the command's one-line description.
func (*runCommand) Synopsis() string { return "run a node until SIGTERM, the planned stop" }

// Usage returns the command's usage.
func (*runCommand) Usage() string {
	return "run -settings FILE\n  Events go to standard error, one JSON object a line.\n"
}

// SetFlags declares the command's flags.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`file` with the node's settings")
}

// Execute runs the command.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, status := readSettings(c.settings)
	if s == nil {
		return status
	}
	n, err := node.Start(ctx, s, version.Number(), os.Stderr)
	if err != nil {
		return fail(err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// checkCommand checks settings.
type checkCommand struct {
	settings string
}

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns the command's one-line description.
func (*checkCommand) Synopsis() string { return "check a settings file" }

// Usage returns the command's usage.
func (*checkCommand) Usage() string { return "check -settings FILE\n" }

// SetFlags declares the command's flags.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`file` with the node's settings")
}

// Execute runs the command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, status := readSettings(c.settings)
	if s == nil {
		return status
	}
	fmt.Printf("%s: settings of VM %s are valid\n", c.settings, s.VM)
	return subcommands.ExitSuccess
}

func readSettings(file string) (*settings.Node, subcommands.ExitStatus) {
	if file == "" {
		fmt.Fprintln(os.Stderr, programName+": -settings: want the settings file")
		return nil, subcommands.ExitUsageError
	}
	s, err := settings.ReadFile(file)
	if err != nil {
		return nil, fail(err)
	}
	return s, subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, programName+": %v\n", err)
	return subcommands.ExitFailure
}

// Package program runs the command-line programs: flags, common subcommands and
// termination signals.
package program

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/version"
)

// Program is a command-line program. Its writers can be replaced in tests.
type Program struct {
	// Name is the name of the command.
	Name string
	// Out receives the output of commands.
	Out io.Writer
	// Errors receives error messages, and the usage after wrong arguments.
	Errors io.Writer
}

// New returns a program that writes to the standard output and standard error.
func New(name string) *Program {
	return &Program{Name: name, Out: os.Stdout, Errors: os.Stderr}
}

// Run executes one subcommand and returns its exit code, or 2 for flags that can't be
// parsed. SIGINT and SIGTERM cancel its context. register adds the program's own
// subcommands to help, flags and version.
func (p *Program) Run(args []string, register func(*subcommands.Commander)) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(p.Errors)
	commander := subcommands.NewCommander(flags, p.Name)
	commander.Output, commander.Error = p.Out, p.Errors
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(version.Command(), "")
	register(commander)
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return int(subcommands.ExitSuccess)
	}
	if err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

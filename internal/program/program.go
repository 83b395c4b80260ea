// Package program opens the command-line programs: flags, the subcommands that
// all of them have, and the signals that end them.
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

// Program is one program. Its output may be anything, so that a test can run it.
type Program struct {
	// Name is the name of the command.
	Name string
	// Out takes what commands print.
	Out io.Writer
	// Errors takes errors and the usage of wrong arguments.
	Errors io.Writer
}

// New returns the program of this process.
func New(name string) *Program {
	return &Program{Name: name, Out: os.Stdout, Errors: os.Stderr}
}

// Run executes one subcommand and returns the exit code: 2 for arguments that
// can't be read, otherwise the subcommand's. SIGINT and SIGTERM end its context.
// register adds the program's own subcommands to help, flags and version.
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

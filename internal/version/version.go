// Package version holds the version of the programs and the subcommand that prints it.
package version

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// versionNumber is the version of all programs.
const versionNumber = "0.1.0"

// Number returns the version.
func Number() string {
	return versionNumber
}

// Command returns the subcommand that prints the version.
func Command() subcommands.Command {
	return command{}
}

type command struct{}

// Name returns the command's name.
func (command) Name() string { return "version" }

// Synopsis returns the command's one-line description.
func (command) Synopsis() string { return "print the version" }

// Usage returns the command's usage.
func (command) Usage() string { return "version\n" }

// SetFlags declares no flags.
func (command) SetFlags(*flag.FlagSet) {}

// Execute prints the version.
func (command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println(versionNumber)
	return subcommands.ExitSuccess
}

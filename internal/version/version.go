// Package version is the command by which every program tells its version.
package version

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// unknown stands for the version of a program built without module data.
const unknown = "(unknown)"

// String returns the module's version.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return unknown
	}
	return info.Main.Version
}

// command prints the version of one program.
type command struct {
	program string
}

// Command returns the subcommand "version" of a program.
func Command(program string) subcommands.Command {
	return command{program: program}
}

func (command) Name() string             { return "version" }
func (command) Synopsis() string         { return "print the version" }
func (c command) Usage() string          { return c.program + " version\n" }
func (command) SetFlags(_ *flag.FlagSet) {}

// Execute prints the program's version and the toolchain's.
func (c command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	toolchain := unknown
	if info, ok := debug.ReadBuildInfo(); ok {
		toolchain = info.GoVersion
	}
	fmt.Println(c.program, String(), toolchain)
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the version of the program.
type versionCommand struct{}

func (versionCommand) Name() string             { return "version" }
func (versionCommand) Synopsis() string         { return "print the version" }
func (versionCommand) Usage() string            { return "galenacart-load version\n" }
func (versionCommand) SetFlags(_ *flag.FlagSet) {}

// Execute prints the module's version and the toolchain's.
func (versionCommand) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("galenacart-load (unknown version)")
		return subcommands.ExitSuccess
	}
	fmt.Println("galenacart-load", info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}

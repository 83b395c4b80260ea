// Command galenacart-load lays out a deployment of stand-ins on one machine,
// plays experiments against it and reports what callers got.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/version"
)

func main() {
	os.Exit(run())
}

func run() int {
	commander := subcommands.NewCommander(flag.CommandLine, "galenacart-load")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(version.Command(), "")
	commander.Register(&layoutCommand{}, "deployments")
	commander.Register(&runCommand{}, "experiments")
	commander.Register(&compareCommand{}, "experiments")
	commander.Register(&checkTruthCommand{}, "experiments")
	commander.Register(&checkPartitionCommand{}, "experiments")
	commander.Register(&checkStopsCommand{}, "experiments")
	commander.Register(&checkPlatformCommand{}, "experiments")
	commander.Register(&overheadCommand{}, "experiments")
	commander.Register(&capacityCommand{}, "experiments")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

// badUsage prints an error of flags or input files.
func badUsage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "galenacart-load:", err)
	return subcommands.ExitUsageError
}

// failed prints an error of the work itself.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, "galenacart-load:", err)
	return subcommands.ExitFailure
}

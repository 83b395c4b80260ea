// Command galenacart-load lays out a deployment of stand-ins on one machine,
// plays experiments against it and reports what callers got.
package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/program"
)

// name is the name of the command.
const name = "galenacart-load"

func main() {
	os.Exit(program.New(name).Run(os.Args[1:], register))
}

func register(commander *subcommands.Commander) {
	commander.Register(&layoutCommand{}, "deployments")
	commander.Register(&runCommand{}, "experiments")
	commander.Register(&compareCommand{}, "experiments")
	commander.Register(&checkTruthCommand{}, "experiments")
	commander.Register(&checkPartitionCommand{}, "experiments")
	commander.Register(&checkStopsCommand{}, "experiments")
	commander.Register(&checkPlatformCommand{}, "experiments")
	commander.Register(&checkOrderCommand{}, "experiments")
	commander.Register(&overheadCommand{}, "experiments")
	commander.Register(&capacityCommand{}, "experiments")
}

// badUsage prints an error of flags or input files.
func badUsage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, name+":", err)
	return subcommands.ExitUsageError
}

// failed prints an error of the work itself.
func failed(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, name+":", err)
	return subcommands.ExitFailure
}

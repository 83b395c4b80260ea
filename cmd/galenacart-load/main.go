// Command galenacart-load creates a deployment of stand-ins on one machine, runs load
// experiments against it and reports the results that clients saw.
package main

import (
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/program"
)

// programName is the name of the command.
const programName = "galenacart-load"

func main() {
	os.Exit(program.New(programName).Run(os.Args[1:], register))
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

// badUsage prints an error in flags or input files.
func badUsage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, programName+":", err)
	return subcommands.ExitUsageError
}

// reportFailure prints an error of running the command.
func reportFailure(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, programName+":", err)
	return subcommands.ExitFailure
}

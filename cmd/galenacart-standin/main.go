// Command galenacart-standin runs small stand-ins for the environment of galenacart in
// a deployment: the platform's key service, the endpoints and the network.
package main

import (
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/program"
)

// programName is the name of the command.
const programName = "galenacart-standin"

func main() {
	os.Exit(run())
}

func run() int {
	return program.New(programName).Run(os.Args[1:], register)
}

func register(commander *subcommands.Commander) {
	commander.Register(&platformCommand{}, "stand-ins")
	commander.Register(&endpointCommand{}, "stand-ins")
	commander.Register(&relayCommand{}, "stand-ins")
	commander.Register(&changeCommand{}, "experiments")
}

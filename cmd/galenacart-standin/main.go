// Command galenacart-standin runs small stand-ins for what galenacart meets in
// its users' deployments: the platform's key service, the
// endpoints and the network.
package main

import (
	"context"
	"flag"
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
	commander := subcommands.NewCommander(flag.CommandLine, "galenacart-standin")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(version.Command(), "")
	commander.Register(&platformCommand{}, "stand-ins")
	commander.Register(&endpointCommand{}, "stand-ins")
	commander.Register(&relayCommand{}, "stand-ins")
	commander.Register(&changeCommand{}, "experiments")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

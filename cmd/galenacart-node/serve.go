package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/internal/proxynode"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/version"
	"github.com/galenacart/galenacart/platform"
)

// serveCommand runs a node on the platform until SIGTERM, which starts the planned stop.
type serveCommand struct {
	settings string
	check    bool
}

// Name returns the command's name.
func (*serveCommand) Name() string { return "serve" }

// Synopsis returns the command's one-line description.
func (*serveCommand) Synopsis() string {
	return "run a node for the clients of the platform until SIGTERM, the planned stop"
}

// Usage returns the command's usage.
func (*serveCommand) Usage() string {
	return "serve [-check] -settings FILE\n  Events go to standard error, one JSON object a line.\n"
}

// SetFlags declares the command's flags.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "`file` with the node's settings")
	f.BoolVar(&c.check, "check", false, "only check the settings")
}

// Execute runs the command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" {
		fmt.Fprintln(os.Stderr, programName+": -settings: want the settings file")
		return subcommands.ExitUsageError
	}
	s, err := settings.NewReloadable(c.settings)
	if err != nil {
		return fail(err)
	}
	if c.check {
		fmt.Printf("%s: settings of VM %s are valid\n", c.settings, s.Load().VM)
		return subcommands.ExitSuccess
	}
	limitMemory(s.Load().MemoryBytes())
	n, err := proxynode.Start(proxynode.Config{
		Settings:      s,
		Headers:       platform.Headers(),
		Source:        platform.NewFeed(s.Load().PlatformAddress, readers.NewUpdateTimes(s.Load().UpdateBoundDuration())),
		ReadinessPath: platform.ReadinessPath,
		Version:       version.Number(),
		EventOutput:   os.Stderr,
	})
	if err != nil {
		return fail(err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// heapPercent is the part of the process's memory that the garbage collector keeps to. The rest is
// for the program's code and for what is not on the heap.
const heapPercent = 60

// limitMemory has the garbage collector run more often when the process approaches its memory,
// unless the environment sets a limit.
func limitMemory(processBytes int) {
	if _, set := os.LookupEnv("GOMEMLIMIT"); !set {
		debug.SetMemoryLimit(int64(processBytes) / 100 * heapPercent)
	}
}

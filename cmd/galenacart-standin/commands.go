package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/standin/relay"
)

// platformCommand runs the stand-in platform.
type platformCommand struct {
	settings string
	check    bool
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run the platform's key service" }
func (*platformCommand) Usage() string {
	return `galenacart-standin platform -settings FILE [-check]
Serves keys to read and watch until SIGTERM or SIGINT.
Exit codes: 0 stopped as planned, 1 failed, 2 bad usage or settings.
`
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	setFlags(f, &c.settings, &c.check)
}

// Execute runs the platform until ctx ends.
func (c *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkUsage(f, c.settings); err != nil {
		return badUsage(err)
	}
	s, err := platform.ReadFile(c.settings)
	if err != nil {
		return badUsage(err)
	}
	if c.check {
		return subcommands.ExitSuccess
	}
	log := newLog("platform", s.LogLevel)
	return exitStatus(log, platform.Run(ctx, s, log))
}

// endpointCommand runs one stand-in endpoint.
type endpointCommand struct {
	settings string
	check    bool
}

func (*endpointCommand) Name() string     { return "endpoint" }
func (*endpointCommand) Synopsis() string { return "run one endpoint" }
func (*endpointCommand) Usage() string {
	return `galenacart-standin endpoint -settings FILE [-check]
Serves calls until SIGTERM or SIGINT, then drains.
Exit codes: 0 drained, 1 failed, 2 bad usage or settings, 70 crashed on a request.
`
}

func (c *endpointCommand) SetFlags(f *flag.FlagSet) {
	setFlags(f, &c.settings, &c.check)
}

// Execute runs the endpoint until ctx ends and it has drained.
func (c *endpointCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkUsage(f, c.settings); err != nil {
		return badUsage(err)
	}
	s, err := endpoint.ReadFile(c.settings)
	if err != nil {
		return badUsage(err)
	}
	if c.check {
		return subcommands.ExitSuccess
	}
	log := newLog(s.VM, s.LogLevel)
	return exitStatus(log, endpoint.Run(ctx, s, log))
}

// relayCommand runs the stand-in for the network between availability zones.
type relayCommand struct {
	settings string
	check    bool
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "run the network between availability zones" }
func (*relayCommand) Usage() string {
	return `galenacart-standin relay -settings FILE [-check]
Forwards TCP connections until SIGTERM or SIGINT, and cuts availability zones off.
Exit codes: 0 stopped as planned, 1 failed, 2 bad usage or settings.
`
}

func (c *relayCommand) SetFlags(f *flag.FlagSet) {
	setFlags(f, &c.settings, &c.check)
}

// Execute forwards until ctx ends.
func (c *relayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := checkUsage(f, c.settings); err != nil {
		return badUsage(err)
	}
	s, err := relay.ReadFile(c.settings)
	if err != nil {
		return badUsage(err)
	}
	if c.check {
		return subcommands.ExitSuccess
	}
	log := newLog("relay", s.LogLevel)
	return exitStatus(log, relay.Run(ctx, s, log))
}

func setFlags(f *flag.FlagSet, settings *string, check *bool) {
	f.StringVar(settings, "settings", "", "JSON `file` of settings (required)")
	f.BoolVar(check, "check", false, "check the settings and exit")
}

// checkUsage returns an error unless the settings file is set and there are no arguments.
func checkUsage(f *flag.FlagSet, settings string) error {
	if settings == "" {
		return errors.New("want -settings FILE")
	}
	if f.NArg() > 0 {
		return errors.Errorf("want no argument besides the flags, have %q", f.Arg(0))
	}
	return nil
}

func badUsage(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, programName+":", err)
	return subcommands.ExitUsageError
}

func newLog(vm, level string) *event.Log {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	return event.NewLog(os.Stderr, "standin", vm, parsed)
}

func exitStatus(log *event.Log, err error) subcommands.ExitStatus {
	if err != nil {
		log.Emit(event.StandinFailed, "", event.F("error", err.Error()))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/overhead"
	"github.com/galenacart/galenacart/internal/load/runner"
)

// overheadCommand measures the latency that two nodes add to a call.
type overheadCommand struct {
	catalogue    string
	targets      string
	route        string
	readyTimeout time.Duration
	json         bool
	config       overhead.Config
}

func (*overheadCommand) Name() string     { return "overhead" }
func (*overheadCommand) Synopsis() string { return "measure the latency added by two nodes" }
func (*overheadCommand) Usage() string {
	return `galenacart-load overhead -catalogue FILE -targets FILE -route NAME [-rate N] [-duration D]
Calls a route's endpoints directly and through nodes of other services, alternately in one
run, and prints the quantiles of both paths and their difference. The endpoints should have
a short, constant service time.
Exit codes: 0 all calls succeeded, 1 the measurement or at least one call failed, 2 bad usage or input.
`
}

func (c *overheadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.catalogue, "catalogue", "", "JSON `file` of the catalogue (required)")
	f.StringVar(&c.targets, "targets", "", "targets `file` that the layout subcommand wrote: the addresses of all nodes and endpoints (required)")
	f.StringVar(&c.route, "route", "", "`name` of an idempotent route without downstream calls (required)")
	f.Float64Var(&c.config.PerSecond, "rate", 400, "`calls` per second on each path")
	f.DurationVar(&c.config.Warmup, "warmup", 2*time.Second, "warm-up `time`, not measured")
	f.DurationVar(&c.config.Duration, "duration", 10*time.Second, "measured `time`, after the warm-up")
	f.Uint64Var(&c.config.Seed, "seed", 1, "`seed` of the arrivals")
	f.DurationVar(&c.readyTimeout, "ready", 20*time.Second, "maximum `wait` until all processes accept requests")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// Execute measures and prints the result.
func (c *overheadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	targets, err := readTargets(c.targets)
	if err != nil {
		return badUsage(err)
	}
	if err := c.selectRoute(targets); err != nil {
		return badUsage(err)
	}
	if err := c.waitReady(ctx, targets); err != nil {
		return reportFailure(err)
	}
	r, err := overhead.Run(ctx, c.config)
	if err != nil {
		return reportFailure(err)
	}
	if err := c.print(r); err != nil {
		return reportFailure(err)
	}
	if failures := r.Direct.Failed + r.TwoNodes.Failed; failures > 0 {
		return reportFailure(fmt.Errorf("%d calls failed", failures))
	}
	return subcommands.ExitSuccess
}

// selectRoute looks up the route in the catalogue. Calls go directly to the endpoints of its
// service, and through the nodes of all other services.
func (c *overheadCommand) selectRoute(t *runner.Targets) error {
	cat, err := catalogue.ReadFile(c.catalogue)
	if err != nil {
		return errors.WithMessage(err, "-catalogue")
	}
	for i := range cat.Routes {
		if cat.Routes[i].Name == c.route {
			c.config.Route = &cat.Routes[i]
		}
	}
	if c.config.Route == nil {
		return errors.Errorf("-route: no such route in %s: %q", c.catalogue, c.route)
	}
	c.config.Nodes, c.config.Endpoints = t.SplitByService(c.config.Route.Service)
	if len(c.config.Nodes) == 0 || len(c.config.Endpoints) == 0 {
		return errors.Errorf("-targets: want endpoints of service %s and nodes of another", c.config.Route.Service)
	}
	return nil
}

func (c *overheadCommand) waitReady(ctx context.Context, t *runner.Targets) error {
	ctx, cancel := context.WithTimeout(ctx, c.readyTimeout)
	defer cancel()
	return runner.WaitReady(ctx, t)
}

func (c *overheadCommand) print(r *overhead.Result) error {
	if c.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(r), "print result")
	}
	_, err := fmt.Printf("%-12s %8s %8s %10s %10s %10s\n", "way", "calls", "failed", "p50 ms", "p90 ms", "p99 ms")
	for _, row := range []struct {
		name string
		path overhead.PathLatency
	}{{"direct", r.Direct}, {"two nodes", r.TwoNodes}} {
		if err != nil {
			break
		}
		_, err = fmt.Printf("%-12s %8d %8d %10.3f %10.3f %10.3f\n", row.name, row.path.Calls, row.path.Failed,
			toMs(row.path.P50Micros), toMs(row.path.P90Micros), toMs(row.path.P99Micros))
	}
	if err == nil {
		_, err = fmt.Printf("%-12s %8s %8s %10.3f %10s %10.3f\n", "added", "", "", toMs(r.AddedP50Micros), "", toMs(r.AddedP99Micros))
	}
	for _, check := range r.Checks() {
		if err == nil {
			_, err = fmt.Printf("%s: %s\n", check.Name, check.Text())
		}
	}
	return errors.Wrap(err, "print result")
}

func toMs(micros int64) float64 {
	return float64(micros) / 1000
}

package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/capacity"
)

// capacityCommand measures fleets of several sizes.
type capacityCommand struct {
	node   string
	nodes  string
	listed int
	idle   time.Duration
	out    string
}

func (*capacityCommand) Name() string     { return "capacity" }
func (*capacityCommand) Synopsis() string { return "measure what control costs a node" }
func (*capacityCommand) Usage() string {
	return `galenacart-load capacity [-node FILE] [-nodes LIST] [-listed N] [-idle DURATION] [-out FILE]
Runs fleets of node processes of several sizes on 127.31.0.0/16 with the platform stand-in,
samples what control costs them, and fits how the cost grows. It stops all that it started.
Exit codes: 0 measured, 1 failed, 2 bad usage.
`
}

// SetFlags declares the command's flags.
func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.node, "node", "bin/galenacart-node", "`file` of the node program")
	f.StringVar(&c.nodes, "nodes", "25,50,100,200", "`list` of fleet sizes, each at most 200")
	f.IntVar(&c.listed, "listed", 5000, "`number` of VMs in the list that do not run, in one more run of 50 nodes; 0: no such run")
	f.DurationVar(&c.idle, "idle", 20*time.Second, "`time` for which the idle cost is sampled")
	f.StringVar(&c.out, "out", "out/capacity.json", "`file` for the results")
}

// Execute measures and prints.
func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	sizes, err := c.sizes()
	if err != nil {
		return badUsage(err)
	}
	if err := c.run(ctx, sizes); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

const (
	zones        = 3
	services     = 8
	maxNodes     = 200
	listNodes    = 50
	listServices = 190
)

// sizes returns the fleets to measure.
func (c *capacityCommand) sizes() ([]capacity.Size, error) {
	var out []capacity.Size
	for _, text := range strings.Split(c.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < zones || n > maxNodes {
			return nil, errors.Errorf("-nodes %s: want numbers from %d to %d", c.nodes, zones, maxNodes)
		}
		out = append(out, capacity.Size{Nodes: n, Zones: zones, Services: services})
	}
	if c.listed > 0 {
		out = append(out, capacity.Size{Nodes: listNodes, Zones: zones, Listed: c.listed, Services: listServices})
	}
	return out, nil
}

func (c *capacityCommand) run(ctx context.Context, sizes []capacity.Size) error {
	var results []*capacity.Result
	for _, size := range sizes {
		result, err := capacity.Measure(ctx, size, c.node, c.idle)
		if err != nil {
			return errors.Wrapf(err, "%d nodes", size.Nodes)
		}
		results = append(results, result)
		if err := capacity.WriteTable(os.Stdout, []*capacity.Result{result}); err != nil {
			return err
		}
	}
	fmt.Println()
	if err := capacity.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	fmt.Println()
	if err := capacity.WriteSlopes(os.Stdout, results); err != nil {
		return err
	}
	return c.save(results)
}

func (c *capacityCommand) save(results []*capacity.Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(filepath.Dir(c.out), 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	return errors.Wrap(os.WriteFile(c.out, data, 0o600), "write results")
}

// Command galenacart-capacity measures what control costs a node, with fleets
// of real node processes on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/capacity"
	"github.com/galenacart/galenacart/internal/version"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&measureCommand{}, "")
	subcommands.Register(version.Command(), "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := subcommands.Execute(ctx)
	stop()
	os.Exit(int(code))
}

// measureCommand measures fleets of several sizes.
type measureCommand struct {
	node   string
	nodes  string
	listed int
	idle   time.Duration
	out    string
}

// Name returns the command's name.
func (*measureCommand) Name() string { return "measure" }

// Synopsis returns a line about the command.
func (*measureCommand) Synopsis() string { return "measure fleets of several sizes" }

// Usage returns the command's usage.
func (*measureCommand) Usage() string {
	return "measure [-node FILE] [-nodes LIST] [-listed N] [-idle DURATION] [-out FILE]\n" +
		"  Starts and stops its own node processes on 127.31.0.0/16.\n"
}

// SetFlags declares the command's flags.
func (c *measureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.node, "node", "bin/galenacart-node", "`file` of the node program")
	f.StringVar(&c.nodes, "nodes", "25,50,100,200", "`list` of fleet sizes, each at most 200")
	f.IntVar(&c.listed, "listed", 5000, "`number` of VMs in the list that do not run, in one more run of 50 nodes; 0: no such run")
	f.DurationVar(&c.idle, "idle", 20*time.Second, "`time` for which the idle cost is sampled")
	f.StringVar(&c.out, "out", "out/capacity.json", "`file` for the results")
}

// Execute runs the command.
func (c *measureCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "galenacart-capacity:", err)
		return subcommands.ExitFailure
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
func (c *measureCommand) sizes() ([]capacity.Size, error) {
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

func (c *measureCommand) run(ctx context.Context) error {
	sizes, err := c.sizes()
	if err != nil {
		return err
	}
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

func (c *measureCommand) save(results []*capacity.Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode results")
	}
	if err := os.MkdirAll(filepath.Dir(c.out), 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	return errors.Wrap(os.WriteFile(c.out, data, 0o600), "write results")
}

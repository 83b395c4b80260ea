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

	fleets "github.com/galenacart/galenacart/internal/load/capacity"
	"github.com/galenacart/galenacart/internal/load/capacity/measure"
	"github.com/galenacart/galenacart/internal/load/capacity/planning"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const (
	measuredName     = "measured.json"
	maxMeasuredBytes = 4 << 20

	// Fleets of the measurement.
	capacityZones       = 3
	capacityServices    = 8
	capacityMaxNodes    = 200
	capacityOneZone     = 100
	capacityEvents      = 25
	capacityEventsLarge = 100
)

// capacityCommand measures fleets, and works out what the planned fleet needs.
type capacityCommand struct {
	in      string
	out     string
	node    string
	nodes   string
	listed  int
	rest    time.Duration
	longest time.Duration
	json    bool
	measure bool
}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "work out what a fleet of the planned size needs"
}

func (*capacityCommand) Usage() string {
	return `galenacart-load capacity -in MEASURED.json [-json]
galenacart-load capacity -measure -out DIR [-node FILE] [-nodes LIST] [-listed N] [-rest D]
The first form fits slopes to what was measured, works out what each role needs at the
planned size, and compares it with the bounds. The second form measures first: it starts
and ends its own node processes on 127.31.0.0/16 and 127.33.0.0/16, and writes
DIR/measured.json.
Exit codes: 0 printed, 1 failed, 2 bad usage or input.
`
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.in, "in", "", "`file` with a measurement")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.measure, "measure", false, "measure first")
	f.StringVar(&c.out, "out", "out/capacity", "`directory` for the measurement")
	f.StringVar(&c.node, "node", "bin/galenacart-node", "`file` of the node program")
	f.StringVar(&c.nodes, "nodes", "25,50,100,200", "`list` of fleet sizes at rest, each at most 200")
	f.IntVar(&c.listed, "listed", 5000, "`number` of VMs that are only listed, in one more fleet")
	f.DurationVar(&c.longest, "longest", 15*time.Minute, "`time` after which a measurement is given up")
	f.DurationVar(&c.rest, "rest", 10*time.Second, "`time` for which a fleet at rest is sampled")
}

// Execute measures, if asked to, and prints.
func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.measure {
		sizes, err := c.sizes()
		if err != nil {
			return badUsage(err)
		}
		if err := c.runMeasure(ctx, sizes); err != nil {
			return failed(err)
		}
	}
	if c.in == "" {
		return badUsage(errors.New("-in: want a file, or -measure"))
	}
	m, err := readMeasured(c.in)
	if err != nil {
		return badUsage(errors.WithMessage(err, "-in"))
	}
	r, err := planning.Derive(m, planning.PlannedTarget(), planning.UserLimits())
	if err != nil {
		return badUsage(errors.WithMessage(err, "-in"))
	}
	if err := c.print(r); err != nil {
		return failed(err)
	}
	return subcommands.ExitSuccess
}

// sizes returns the fleets at rest. The last one has a single zone, so that what
// grows with the zone can be told from what grows with the fleet.
func (c *capacityCommand) sizes() ([]fleets.Size, error) {
	var all []fleets.Size
	for _, text := range strings.Split(c.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < capacityZones || n > capacityMaxNodes {
			return nil, errors.Errorf("-nodes %s: want numbers from %d to %d", c.nodes, capacityZones, capacityMaxNodes)
		}
		all = append(all, fleets.Size{Nodes: n, Zones: capacityZones, Services: capacityServices})
	}
	return append(all, fleets.Size{Nodes: capacityOneZone, Zones: 1, Services: capacityServices}), nil
}

func (c *capacityCommand) runMeasure(ctx context.Context, sizes []fleets.Size) error {
	ctx, cancel := context.WithTimeout(ctx, c.longest)
	defer cancel()
	planned := planning.PlannedTarget()
	c.in = filepath.Join(c.out, measuredName)
	_, err := measure.Run(ctx, measure.Config{
		Program: c.node, Dir: filepath.Join(c.out, "nodes"), RestFleets: sizes, RestTime: c.rest,
		EventFleets: []measure.Size{
			{Nodes: capacityEvents, Zones: capacityZones, Services: capacityServices},
			{Nodes: capacityEventsLarge, Zones: capacityZones, Services: planned.Services},
			{Nodes: capacityEvents, Zones: capacityZones, Services: planned.Services, Listed: c.listed},
		},
		Progress: func(text string) { fmt.Fprintln(os.Stderr, "capacity:", text) },
		Save:     c.save,
	})
	return err
}

// save writes what was measured so far.
func (c *capacityCommand) save(m *planning.Measurement) error {
	data, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode measurement")
	}
	if err := os.MkdirAll(c.out, 0o755); err != nil {
		return errors.Wrap(err, "write measurement")
	}
	return errors.Wrap(os.WriteFile(c.in, append(data, '\n'), 0o644), "write measurement")
}

func readMeasured(file string) (*planning.Measurement, error) {
	return strictjson.Load(file, maxMeasuredBytes, decodeMeasured)
}

func decodeMeasured(file string, data []byte) (*planning.Measurement, error) {
	m := &planning.Measurement{}
	return m, strictjson.Decode(file, data, m)
}

func (c *capacityCommand) print(r *planning.Report) error {
	if c.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(r), "print report")
	}
	return r.WriteText(os.Stdout)
}

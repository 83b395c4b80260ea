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
	measurementFile     = "measured.json"
	maxMeasurementBytes = 4 << 20

	// Sizes of the measured fleets, in nodes, availability zones and services.
	fleetZones           = 3
	fleetServices        = 8
	maxFleetNodes        = 200
	oneZoneNodes         = 100
	eventFleetNodes      = 25
	largeEventFleetNodes = 100
)

// capacityCommand measures fleets and extrapolates to the resources of the planned fleet.
type capacityCommand struct {
	in           string
	out          string
	node         string
	nodes        string
	listed       int
	restDuration time.Duration
	timeout      time.Duration
	json         bool
	measure      bool
}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "estimate the resources of a fleet of the planned size"
}

func (*capacityCommand) Usage() string {
	return `galenacart-load capacity -in MEASURED.json [-json]
galenacart-load capacity -measure -out DIR [-node FILE] [-nodes LIST] [-listed N] [-rest D]
The first form fits slopes to a measurement, estimates the resources of each role at the
planned size, and compares them with the limits. The second form measures first: it
starts and stops its own node processes on 127.31.0.0/16 and 127.33.0.0/16, and writes
DIR/measured.json.
Exit codes: 0 printed, 1 failed, 2 bad usage or input.
`
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.in, "in", "", "`file` with a measurement")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.BoolVar(&c.measure, "measure", false, "run a measurement first")
	f.StringVar(&c.out, "out", "out/capacity", "`directory` for the measurement")
	f.StringVar(&c.node, "node", "bin/galenacart-node", "`file` of the node program")
	f.StringVar(&c.nodes, "nodes", "25,50,100,200", "`list` of sizes of idle fleets, each at most 200")
	f.IntVar(&c.listed, "listed", 5000, "`number` of VMs without a process in the VM list of an additional fleet")
	f.DurationVar(&c.timeout, "longest", 15*time.Minute, "`time` after which a measurement is aborted")
	f.DurationVar(&c.restDuration, "rest", 10*time.Second, "`time` for which an idle fleet is sampled")
}

// Execute measures if -measure is set, and prints the report.
func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.measure {
		sizes, err := c.sizes()
		if err != nil {
			return badUsage(err)
		}
		if err := c.runMeasurement(ctx, sizes); err != nil {
			return reportFailure(err)
		}
	}
	if c.in == "" {
		return badUsage(errors.New("-in: want a file, or -measure"))
	}
	m, err := readMeasurement(c.in)
	if err != nil {
		return badUsage(errors.WithMessage(err, "-in"))
	}
	r, err := planning.Derive(m, planning.PlannedTarget(), planning.UserLimits())
	if err != nil {
		return badUsage(errors.WithMessage(err, "-in"))
	}
	if err := c.print(r); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

// sizes returns the sizes of the idle fleets. The last one has a single zone, so that
// growth with the size of a zone can be distinguished from growth with the fleet.
func (c *capacityCommand) sizes() ([]fleets.Size, error) {
	var all []fleets.Size
	for _, text := range strings.Split(c.nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < fleetZones || n > maxFleetNodes {
			return nil, errors.Errorf("-nodes %s: want numbers from %d to %d", c.nodes, fleetZones, maxFleetNodes)
		}
		all = append(all, fleets.Size{Nodes: n, Zones: fleetZones, Services: fleetServices})
	}
	return append(all, fleets.Size{Nodes: oneZoneNodes, Zones: 1, Services: fleetServices}), nil
}

func (c *capacityCommand) runMeasurement(ctx context.Context, sizes []fleets.Size) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	planned := planning.PlannedTarget()
	c.in = filepath.Join(c.out, measurementFile)
	_, err := measure.Run(ctx, measure.Config{
		Program: c.node, Dir: filepath.Join(c.out, "nodes"), RestFleets: sizes, RestTime: c.restDuration,
		EventFleets: []measure.Size{
			{Nodes: eventFleetNodes, Zones: fleetZones, Services: fleetServices},
			{Nodes: largeEventFleetNodes, Zones: fleetZones, Services: planned.Services},
			{Nodes: eventFleetNodes, Zones: fleetZones, Services: planned.Services, Listed: c.listed},
		},
		Progress: func(text string) { fmt.Fprintln(os.Stderr, "capacity:", text) },
		Save:     c.save,
	})
	return err
}

// save writes the measurement, which may still be incomplete.
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

func readMeasurement(file string) (*planning.Measurement, error) {
	return strictjson.Load(file, maxMeasurementBytes, decodeMeasurement)
}

func decodeMeasurement(file string, data []byte) (*planning.Measurement, error) {
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

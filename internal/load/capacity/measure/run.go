package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	fleets "github.com/galenacart/galenacart/internal/capacity"
	"github.com/galenacart/galenacart/internal/load/capacity"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// Config says what to measure.
type Config struct {
	// Program is the file of the node program.
	Program string
	// Dir takes settings and events of the nodes.
	Dir string
	// Rest lists the fleets that are measured at rest.
	Rest []fleets.Size
	// Events lists the fleets in which VMs come and go, and which carry calls.
	Events []Size
	// RestTime is the time for which a fleet at rest is sampled.
	RestTime time.Duration
	// Progress is told of each step.
	Progress func(text string)
}

// Run measures everything, one fleet after the other.
func Run(ctx context.Context, c Config) (*capacity.Measured, error) {
	m := &capacity.Measured{Taken: time.Now().UTC().Truncate(time.Second)}
	m.Machine = capacity.Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), LoadBefore: loadAverage()}
	if err := measureDocuments(m); err != nil {
		return nil, err
	}
	for _, size := range c.Rest {
		c.Progress(fmt.Sprintf("at rest: %d nodes, %d zones, %d further VMs in the list, %d services", size.Nodes, size.Zones, size.Listed, size.Services))
		r, err := fleets.Measure(ctx, size, c.Program, c.RestTime)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet of %d nodes at rest", size.Nodes)
		}
		m.Fleets = append(m.Fleets, fleetOf(r))
	}
	for _, size := range c.Events {
		c.Progress(fmt.Sprintf("changes, restarts and calls: %d nodes, %d zones, %d services", size.Nodes, size.Zones, size.Services))
		if err := c.runEvents(ctx, size, m); err != nil {
			return nil, errors.Wrapf(err, "fleet of %d nodes", size.Nodes)
		}
	}
	m.Machine.LoadAfter = loadAverage()
	return m, nil
}

// runEvents measures one fleet and ends it.
func (c *Config) runEvents(ctx context.Context, size Size, m *capacity.Measured) (err error) {
	dir := filepath.Join(c.Dir, fmt.Sprintf("%d-nodes-%d-services", size.Nodes, size.Services))
	f, err := startFleet(ctx, size, c.Program, dir)
	if f != nil {
		defer func() {
			if closeErr := f.close(); err == nil {
				err = closeErr
			}
		}()
	}
	if err != nil {
		return err
	}
	e, err := f.measureEvents(ctx, c.RestTime)
	if err != nil {
		return err
	}
	m.Events = append(m.Events, *e)
	t, err := f.measureTraffic(ctx, c.RestTime)
	if err != nil {
		return err
	}
	m.Traffic = append(m.Traffic, *t)
	return nil
}

// fleetOf brings a result into the form and the units of the arithmetic.
func fleetOf(r *fleets.Result) capacity.Fleet {
	return capacity.Fleet{
		Nodes: r.Size.Nodes, Zones: r.Size.Zones, Listed: r.Size.Listed, Services: r.Size.Services,
		Reader: roleOf(r.Readers), Idle: roleOf(r.Others),
		StartSeconds: r.StartSeconds, StartPeakReads: r.StartPeakReads,
		ChangeSeconds: r.ChangeSeconds, ChangeBytes: 1e3 * r.ChangeKB,
		ZoneSeconds: r.ZoneSeconds, PeakReads: r.PeakReads, ReadsPerSecond: r.IdleReads, Back: r.Back,
	}
}

func roleOf(r fleets.Role) capacity.Role {
	return capacity.Role{
		Nodes: r.Nodes, Links: r.Links, CPU: r.CPUPercent / 100, MemoryBytes: 1e6 * r.MemoryMB,
		Messages: r.MessagesPerSecond, Bytes: 1e3 * r.KBPerSecond,
	}
}

// measureDocuments finds the sizes of one entry of each document, with names as
// long as those of the planned fleet.
func measureDocuments(m *capacity.Measured) error {
	vm, err := json.Marshal(vmlist.VM{
		Name: "dispatch-archive-0123", AvailabilityZone: "vestland-3", Region: "vestland", Service: "dispatch-archive",
		PeerAddress: "10.123.123.123:7001", CallerAddress: "10.123.123.123:7000", State: vmlist.Live,
	})
	if err != nil {
		return errors.Wrap(err, "encode VM")
	}
	m.ListBytesPerVM = float64(len(vm) + len(","))
	const services = 100
	c := Size{Nodes: 1, Zones: 1, Services: services}.catalogue(0)
	all, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode catalogue")
	}
	m.CatalogueBytesPerService = float64(len(all)) / services
	return nil
}

// loadAverage returns the load of the last minute, or 0 where it can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 stands for unknown
	return load
}

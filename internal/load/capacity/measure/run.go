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

	fleets "github.com/galenacart/galenacart/internal/load/capacity"
	"github.com/galenacart/galenacart/internal/load/capacity/planning"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// Config is the configuration of a measurement.
type Config struct {
	// Program is the file name of the node program.
	Program string
	// Dir is the directory for settings and events of the nodes.
	Dir string
	// RestFleets lists the fleets that are measured while idle.
	RestFleets []fleets.Size
	// EventFleets lists the fleets in which VMs leave and join, and which carry calls.
	EventFleets []Size
	// RestTime is the time for which an idle fleet is sampled.
	RestTime time.Duration
	// Progress is called at the start of each step.
	Progress func(text string)
	// Save stores the measurements so far; it is called after each fleet.
	Save func(m *planning.Measurement) error
}

// Run measures all fleets in sequence.
func Run(ctx context.Context, c Config) (*planning.Measurement, error) {
	m := &planning.Measurement{StartedAt: time.Now().UTC().Truncate(time.Second)}
	m.Machine = planning.Machine{Cores: runtime.NumCPU(), Go: runtime.Version(), LoadBefore: loadAverage()}
	if err := measureDocuments(m); err != nil {
		return nil, err
	}
	for _, size := range c.RestFleets {
		c.Progress(fmt.Sprintf("at rest: %d nodes, %d zones, %d further VMs in the list, %d services", size.Nodes, size.Zones, size.Listed, size.Services))
		r, err := fleets.Measure(ctx, size, c.Program, c.RestTime)
		if err != nil {
			return nil, errors.Wrapf(err, "fleet of %d nodes at rest", size.Nodes)
		}
		m.Fleets = append(m.Fleets, convertFleet(r))
		if err := c.save(m); err != nil {
			return nil, err
		}
	}
	for _, size := range c.EventFleets {
		c.Progress(fmt.Sprintf("changes, restarts and calls: %d nodes, %d zones, %d services", size.Nodes, size.Zones, size.Services))
		if err := c.runEvents(ctx, size, m); err != nil {
			return nil, errors.Wrapf(err, "fleet of %d nodes", size.Nodes)
		}
		if err := c.save(m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (c *Config) save(m *planning.Measurement) error {
	m.Machine.LoadAfter = loadAverage()
	return c.Save(m)
}

// runEvents starts one fleet, measures it and stops it.
func (c *Config) runEvents(ctx context.Context, size Size, m *planning.Measurement) (err error) {
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
	m.EventCosts = append(m.EventCosts, *e)
	t, err := f.measureTraffic(ctx, c.RestTime)
	if err != nil {
		return err
	}
	m.Traffic = append(m.Traffic, *t)
	return nil
}

// convertFleet converts a result to the types and units of package planning.
func convertFleet(r *fleets.Result) planning.Fleet {
	return planning.Fleet{
		Nodes: r.Size.Nodes, Zones: r.Size.Zones, Listed: r.Size.Listed, Services: r.Size.Services,
		Reader: convertRole(r.Readers), Idle: convertRole(r.Others),
		StartSeconds: r.StartSeconds, StartPeakReads: r.StartPeakReads,
		ChangeSeconds: r.ChangeSeconds, ChangeBytes: 1e3 * r.ChangeKB,
		ZoneSeconds: r.ZoneSeconds, PeakReads: r.PeakReads, ReadsPerSecond: r.IdleReads, RevisionRegressions: r.RevisionRegressions,
	}
}

func convertRole(r fleets.RoleCost) planning.RoleCost {
	return planning.RoleCost{
		Nodes: r.Nodes, Links: r.Links, CPU: r.CPUPercent / 100, MemoryBytes: 1e6 * r.MemoryMB,
		Messages: r.MessagesPerSecond, Bytes: 1e3 * r.KBPerSecond,
	}
}

// measureDocuments computes the size of one entry of each document and of one
// record, with names as long as those of the planned fleet.
func measureDocuments(m *planning.Measurement) error {
	vm := vmlist.VM{
		Name: "dispatch-archive-0123", AvailabilityZone: "vestland-3", Region: "vestland", Service: "dispatch-archive",
		PeerAddress: "10.123.123.123:7001", CallerAddress: "10.123.123.123:7000", State: vmlist.Live,
	}
	planned := planning.PlannedTarget()
	fleet := &vmlist.List{}
	for i := range planned.Nodes {
		one := vm
		one.Service = fmt.Sprintf("%s-%03d", vm.Service[:len(vm.Service)-len("-000")], i%planned.Services)
		one.AvailabilityZone = fmt.Sprintf("vestland-%d", i/planned.Services%planned.Zones)
		fleet.VMs = append(fleet.VMs, one)
	}
	whole, err := json.Marshal(vmlist.NewGroupedList(fleet))
	if err != nil {
		return errors.Wrap(err, "encode VM list")
	}
	m.ListBytesPerVM = float64(len(whole)) / float64(planned.Nodes)
	list := make([]peer.MemberRecord, peer.MaxMemberRecords)
	for i := range list {
		list[i] = peer.MemberRecord{
			VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
			PeerAddress: vm.PeerAddress, Incarnation: uint64(m.StartedAt.UnixNano()), Stamp: 1 << 30, AgeMs: 1 << 20,
		}
	}
	message, err := peer.Encode(&peer.Message{MemberRecords: &peer.MemberRecords{List: list}})
	if err != nil {
		return errors.WithMessage(err, "encode records")
	}
	m.RecordBytes = float64(len(message)) / peer.MaxMemberRecords
	const services = 100
	all, err := json.Marshal(Size{Nodes: 1, Zones: 1, Services: services}.catalogue(0))
	if err != nil {
		return errors.Wrap(err, "encode catalogue")
	}
	m.CatalogueBytesPerService = float64(len(all)) / services
	return nil
}

// loadAverage returns the load average of the last minute, or 0 if it can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64) // 0 stands for unknown
	return load
}

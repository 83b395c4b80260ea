package measure

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/capacity/planning"
)

const (
	// settleTime is the wait after a start until its effects are over.
	settleTime = 8 * time.Second
	// listedSettleTime is the same for fleets whose VM list has many further VMs.
	listedSettleTime = 20 * time.Second
	// eventWindow is the time after an event that its cost includes.
	eventWindow = 5 * time.Second
	// changeCount is the number of changes over which the cost of a change is averaged.
	changeCount = 5
	// changeGap is the time between two changes; each is in force before the next.
	changeGap = 1500 * time.Millisecond
	// freezeDuration is the time for which a zone does not respond. It exceeds the
	// time after which its links count as lost.
	freezeDuration = 6 * time.Second
)

// restRates holds the resource use of an idle process.
type restRates struct {
	cpu, messages, bytes float64 // per second
}

// measureRest samples the idle fleet.
func (f *fleet) measureRest(ctx context.Context, length time.Duration) (map[*process]restRates, error) {
	before, err := takeSamples(ctx, f.processes)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, length); err != nil {
		return nil, err
	}
	after, err := takeSamples(ctx, f.processes)
	if err != nil {
		return nil, err
	}
	out := make(map[*process]restRates)
	for i, p := range f.processes {
		a, b := after[i], before[i]
		seconds := a.at.Sub(b.at).Seconds()
		out[p] = restRates{
			cpu:      (a.cpu - b.cpu).Seconds() / seconds,
			messages: (a.messages - b.messages) / seconds,
			bytes:    (a.bytes - b.bytes) / seconds,
		}
	}
	return out, nil
}

// measureCost returns the mean cost of an action to some processes, beyond their
// idle cost, from its start until eventWindow after its end.
func measureCost(ctx context.Context, processes []*process, atRest map[*process]restRates, action func() error) (planning.Cost, error) {
	var cost planning.Cost
	before, err := takeSamples(ctx, processes)
	if err != nil {
		return cost, err
	}
	begin := time.Now()
	if err := action(); err != nil {
		return cost, err
	}
	if err := pause(ctx, eventWindow); err != nil {
		return cost, err
	}
	cost.Seconds = time.Since(begin).Seconds()
	after, err := takeSamples(ctx, processes)
	if err != nil {
		return cost, err
	}
	n := float64(len(processes))
	for i, p := range processes {
		a, b, r := after[i], before[i], atRest[p]
		seconds := a.at.Sub(b.at).Seconds()
		cost.CPU += ((a.cpu - b.cpu).Seconds() - r.cpu*seconds) / n
		cost.Messages += (a.messages - b.messages - r.messages*seconds) / n
		cost.Bytes += (a.bytes - b.bytes - r.bytes*seconds) / n
	}
	return cost, nil
}

// measureEvents measures the events one after the other.
func (f *fleet) measureEvents(ctx context.Context, restTime time.Duration) (*planning.EventCosts, error) {
	out := &planning.EventCosts{Nodes: f.size.Nodes, Zones: f.size.Zones, Listed: f.size.Listed, Services: f.size.Services}
	settle := settleTime
	if f.size.Listed > 0 {
		settle = listedSettleTime
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	atRest, err := f.measureRest(ctx, restTime)
	if err != nil {
		return nil, err
	}
	if err := f.measureRoles(ctx, atRest, out); err != nil {
		return nil, err
	}
	steps := []func(context.Context, map[*process]restRates, *planning.EventCosts) error{
		f.measureChanges, f.measureOneVM, f.measureZone, f.measureFreeze,
	}
	for _, step := range steps {
		if err := step(ctx, atRest, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// measureChanges publishes changes of the catalogue, and then of the VM list.
func (f *fleet) measureChanges(ctx context.Context, atRest map[*process]restRates, out *planning.EventCosts) error {
	var err error
	edits := 0
	out.CatalogueChange, err = f.measureRepeated(ctx, atRest, f.publishCatalogue)
	if err != nil {
		return err
	}
	out.ListChange, err = f.measureRepeated(ctx, atRest, func() error {
		last := &f.list.VMs[len(f.list.VMs)-1]
		last.CallerAddress = f.list.VMs[edits%f.runningVMs].CallerAddress // has no effect on the nodes
		edits++
		return f.publishList()
	})
	return err
}

// measureRepeated returns the mean cost of one of changeCount changes.
func (f *fleet) measureRepeated(ctx context.Context, atRest map[*process]restRates, change func() error) (planning.Cost, error) {
	cost, err := measureCost(ctx, f.processes, atRest, func() error {
		for range changeCount {
			if err := change(); err != nil {
				return err
			}
			if err := pause(ctx, changeGap); err != nil {
				return err
			}
		}
		return nil
	})
	cost.CPU /= changeCount
	cost.Messages /= changeCount
	cost.Bytes /= changeCount
	return cost, err
}

// measureOneVM stops one VM gracefully and restarts it.
func (f *fleet) measureOneVM(ctx context.Context, atRest map[*process]restRates, out *planning.EventCosts) error {
	one := f.processes[len(f.processes)-1]
	others := f.processes[:len(f.processes)-1]
	var err error
	out.Leave, err = measureCost(ctx, others, atRest, func() error {
		begin := time.Now()
		err := stop([]*process{one})
		out.LeaveSeconds = time.Since(begin).Seconds()
		return err
	})
	if err != nil {
		return errors.WithMessage(err, "stop of one VM")
	}
	out.Join, err = measureCost(ctx, others, atRest, func() error {
		begin := time.Now()
		if err := one.start(f.program); err != nil {
			return err
		}
		err := f.awaitRevision(ctx, []*process{one})
		out.JoinSeconds = time.Since(begin).Seconds()
		return err
	})
	return errors.WithMessage(err, "start of one VM")
}

// measureZone restarts all VMs of a zone at once.
func (f *fleet) measureZone(ctx context.Context, atRest map[*process]restRates, out *planning.EventCosts) error {
	inside, outside := f.splitByZone(zoneName(f.size.Zones - 1))
	out.ZoneVMs = len(inside)
	f.store.ResetCounters()
	var err error
	out.ZoneRestart, err = measureCost(ctx, outside, atRest, func() error {
		if err := stop(inside); err != nil {
			return err
		}
		for _, p := range inside {
			if err := p.start(f.program); err != nil {
				return err
			}
		}
		return f.awaitRevision(ctx, inside)
	})
	out.ZonePeakReads = f.store.Counters().PeakPerSecond
	return errors.WithMessage(err, "restart of a zone")
}

// measureFreeze suspends all processes of a zone and resumes them.
func (f *fleet) measureFreeze(ctx context.Context, atRest map[*process]restRates, out *planning.EventCosts) error {
	inside, outside := f.splitByZone(zoneName(f.size.Zones - 1))
	f.store.ResetCounters()
	var err error
	out.ZoneFreeze, err = measureCost(ctx, outside, atRest, func() error {
		for _, p := range inside {
			p.signal(syscall.SIGSTOP)
		}
		err := pause(ctx, freezeDuration)
		for _, p := range inside {
			p.signal(syscall.SIGCONT)
		}
		return err
	})
	out.FreezePeakReads = f.store.Counters().PeakPerSecond
	return errors.WithMessage(err, "frozen zone")
}

package measure

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/capacity/planning"
)

const (
	// settleTime is the wait after a start until what it caused is over.
	settleTime = 8 * time.Second
	// listedSettleTime is that wait where nodes have to learn of many VMs.
	listedSettleTime = 20 * time.Second
	// eventWindow is the time over which an event's cost is taken.
	eventWindow = 5 * time.Second
	// changes is the number of changes over which one change's cost is averaged.
	changes = 5
	// changeGap is the time between two changes: each is in force before the next.
	changeGap = 1500 * time.Millisecond
	// frozenTime is the time for which a zone does not answer. It is longer than
	// the time after which its links count as lost.
	frozenTime = 6 * time.Second
)

// rates are what a process costs at rest.
type rates struct {
	cpu, messages, bytes float64 // for each second
}

// rest samples the fleet while nothing happens.
func (f *fleet) rest(ctx context.Context, length time.Duration) (map[*process]rates, error) {
	before, err := takeAll(ctx, f.processes)
	if err != nil {
		return nil, err
	}
	if err := pause(ctx, length); err != nil {
		return nil, err
	}
	after, err := takeAll(ctx, f.processes)
	if err != nil {
		return nil, err
	}
	out := make(map[*process]rates)
	for i, p := range f.processes {
		a, b := after[i], before[i]
		seconds := a.at.Sub(b.at).Seconds()
		out[p] = rates{
			cpu:      (a.cpu - b.cpu).Seconds() / seconds,
			messages: (a.messages - b.messages) / seconds,
			bytes:    (a.bytes - b.bytes) / seconds,
		}
	}
	return out, nil
}

// costOf returns what an action costs some processes on average, beyond their
// costs at rest, from its start until a window after its end.
func costOf(ctx context.Context, over []*process, atRest map[*process]rates, action func() error) (planning.Cost, error) {
	var cost planning.Cost
	before, err := takeAll(ctx, over)
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
	after, err := takeAll(ctx, over)
	if err != nil {
		return cost, err
	}
	n := float64(len(over))
	for i, p := range over {
		a, b, r := after[i], before[i], atRest[p]
		seconds := a.at.Sub(b.at).Seconds()
		cost.CPU += ((a.cpu - b.cpu).Seconds() - r.cpu*seconds) / n
		cost.Messages += (a.messages - b.messages - r.messages*seconds) / n
		cost.Bytes += (a.bytes - b.bytes - r.bytes*seconds) / n
	}
	return cost, nil
}

// measureEvents makes each event happen in turn.
func (f *fleet) measureEvents(ctx context.Context, restTime time.Duration) (*planning.EventCosts, error) {
	out := &planning.EventCosts{Nodes: f.size.Nodes, Zones: f.size.Zones, Listed: f.size.Listed, Services: f.size.Services}
	settle := settleTime
	if f.size.Listed > 0 {
		settle = listedSettleTime
	}
	if err := pause(ctx, settle); err != nil {
		return nil, err
	}
	atRest, err := f.rest(ctx, restTime)
	if err != nil {
		return nil, err
	}
	if err := f.measureRoles(ctx, atRest, out); err != nil {
		return nil, err
	}
	steps := []func(context.Context, map[*process]rates, *planning.EventCosts) error{
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
func (f *fleet) measureChanges(ctx context.Context, atRest map[*process]rates, out *planning.EventCosts) error {
	var err error
	edits := 0
	out.CatalogueChange, err = f.repeat(ctx, atRest, f.publishCatalogue)
	if err != nil {
		return err
	}
	out.ListChange, err = f.repeat(ctx, atRest, func() error {
		last := &f.list.VMs[len(f.list.VMs)-1]
		last.CallerAddress = f.list.VMs[edits%f.running].CallerAddress // nothing follows from it
		edits++
		return f.publishList()
	})
	return err
}

// repeat returns the cost of one of several changes.
func (f *fleet) repeat(ctx context.Context, atRest map[*process]rates, change func() error) (planning.Cost, error) {
	cost, err := costOf(ctx, f.processes, atRest, func() error {
		for range changes {
			if err := change(); err != nil {
				return err
			}
			if err := pause(ctx, changeGap); err != nil {
				return err
			}
		}
		return nil
	})
	cost.CPU /= changes
	cost.Messages /= changes
	cost.Bytes /= changes
	return cost, err
}

// measureOneVM stops one VM in the planned way and starts it again.
func (f *fleet) measureOneVM(ctx context.Context, atRest map[*process]rates, out *planning.EventCosts) error {
	one := f.processes[len(f.processes)-1]
	others := f.processes[:len(f.processes)-1]
	var err error
	out.Leave, err = costOf(ctx, others, atRest, func() error {
		begin := time.Now()
		err := stop([]*process{one})
		out.LeaveSeconds = time.Since(begin).Seconds()
		return err
	})
	if err != nil {
		return errors.WithMessage(err, "stop of one VM")
	}
	out.Join, err = costOf(ctx, others, atRest, func() error {
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
func (f *fleet) measureZone(ctx context.Context, atRest map[*process]rates, out *planning.EventCosts) error {
	inside, outside := f.apart(zoneName(f.size.Zones - 1))
	out.ZoneVMs = len(inside)
	f.store.ResetCounters()
	var err error
	out.ZoneRestart, err = costOf(ctx, outside, atRest, func() error {
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

// measureFreeze stops all processes of a zone without a word and lets them go on.
func (f *fleet) measureFreeze(ctx context.Context, atRest map[*process]rates, out *planning.EventCosts) error {
	inside, outside := f.apart(zoneName(f.size.Zones - 1))
	f.store.ResetCounters()
	var err error
	out.ZoneFreeze, err = costOf(ctx, outside, atRest, func() error {
		for _, p := range inside {
			p.signal(syscall.SIGSTOP)
		}
		err := pause(ctx, frozenTime)
		for _, p := range inside {
			p.signal(syscall.SIGCONT)
		}
		return err
	})
	out.FreezePeakReads = f.store.Counters().PeakPerSecond
	return errors.WithMessage(err, "frozen zone")
}

package capacity

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/readers"
)

const (
	startTimeout  = 60 * time.Second
	changeTimeout = 20 * time.Second
	settleTime    = 8 * time.Second
	changeCount   = 5
)

// RoleCost is the mean resource use of the nodes of one role.
type RoleCost struct {
	// Nodes is the number of nodes in the mean.
	Nodes int `json:"nodes"`
	// Links is the number of links of a node.
	Links float64 `json:"links"`
	// CPUPercent is the processor time, in percent of one core.
	CPUPercent float64 `json:"cpuPercent"`
	// MemoryMB is the resident memory, in megabytes.
	MemoryMB float64 `json:"memoryMB"`
	// MessagesPerSecond is the rate of messages sent and received.
	MessagesPerSecond float64 `json:"messagesPerSecond"`
	// KBPerSecond is the payload rate of messages sent and received, in kilobytes
	// a second.
	KBPerSecond float64 `json:"kbPerSecond"`
}

// Result holds the measurements of one fleet.
type Result struct {
	// Size is the fleet.
	Size Size `json:"size"`
	// StartSeconds is the time from the start of all processes at once until all
	// have the catalogue in force.
	StartSeconds float64 `json:"startSeconds"`
	// StartPeakReads is the peak of platform reads in one second by then.
	StartPeakReads int `json:"startPeakReads"`
	// ChangeSeconds is the longest time for a change to be in force on all nodes.
	ChangeSeconds float64 `json:"changeSeconds"`
	// ChangeKB is the payload of one change at a node, sent and received, in
	// kilobytes.
	ChangeKB float64 `json:"changeKB"`
	// IdleReads is the rate of platform reads of the idle fleet, a second.
	IdleReads float64 `json:"idleReads"`
	// Readers is the mean of the nodes that watch the platform.
	Readers RoleCost `json:"readers"`
	// Others is the mean of the nodes that do not.
	Others RoleCost `json:"others"`
	// ZoneSeconds is the time from the concurrent restart of a zone's processes
	// until all have the catalogue in force; 0 if not measured.
	ZoneSeconds float64 `json:"zoneSeconds"`
	// PeakReads is the peak of platform reads in one second of the run.
	PeakReads int `json:"peakReads"`
	// RevisionRegressions counts the times that the revision in force on a node
	// decreased.
	RevisionRegressions int `json:"back"`
}

// Measure runs one fleet and measures it. program is the node binary; idle is the
// time for which the idle fleet is sampled.
func Measure(ctx context.Context, size Size, program string, idle time.Duration) (result *Result, err error) {
	dir, err := os.MkdirTemp("", "galenacart-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	f, err := startPlatform(size, program, dir)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := f.close(); err == nil {
			err = closeErr
		}
	}()
	result = &Result{Size: size}
	steps := []func(context.Context, *Result) error{
		f.measureStart,
		func(ctx context.Context, r *Result) error { return f.measureIdle(ctx, r, idle) },
		f.measureChanges,
		f.measureZone,
	}
	for _, step := range steps {
		if err := step(ctx, result); err != nil {
			return nil, err
		}
	}
	result.PeakReads = f.store.Counters().PeakPerSecond
	for _, p := range f.processes {
		result.RevisionRegressions += p.regressions
	}
	return result, nil
}

func (f *fleet) measureStart(ctx context.Context, r *Result) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	if err := f.startNodes(f.size.vms()[:f.size.Nodes]); err != nil {
		return err
	}
	elapsed, err := f.awaitRevision(ctx, f.revision, begin)
	r.StartSeconds = elapsed.Seconds()
	r.StartPeakReads = f.store.Counters().PeakPerSecond
	return err
}

func (f *fleet) measureIdle(ctx context.Context, r *Result, idle time.Duration) error {
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	reads := f.store.Counters().Total
	before, err := f.sampleAll()
	if err != nil {
		return err
	}
	if err := pause(ctx, idle); err != nil {
		return err
	}
	after, err := f.sampleAll()
	if err != nil {
		return err
	}
	r.IdleReads = float64(f.store.Counters().Total-reads) / idle.Seconds()
	r.Readers = average(before, after, true)
	r.Others = average(before, after, false)
	return nil
}

// average returns the mean cost of the readers, or of the other nodes.
func average(before, after []*sample, reader bool) RoleCost {
	var out RoleCost
	for i, b := range before {
		a := after[i]
		if (a.control.Catalogue.ReadRole == readers.DutyWatch.String()) != reader {
			continue
		}
		seconds := a.at.Sub(b.at).Seconds()
		out.Nodes++
		out.Links += float64(len(a.control.Peers))
		out.CPUPercent += 100 * (a.cpu - b.cpu).Seconds() / seconds
		out.MemoryMB += float64(a.rss) / 1e6
		out.MessagesPerSecond += float64(messageCount(a)-messageCount(b)) / seconds
		out.KBPerSecond += float64(payloadBytes(a)-payloadBytes(b)) / 1e3 / seconds
	}
	if out.Nodes == 0 {
		return out
	}
	n := float64(out.Nodes)
	out.Links /= n
	out.CPUPercent /= n
	out.MemoryMB /= n
	out.MessagesPerSecond /= n
	out.KBPerSecond /= n
	return out
}

func messageCount(s *sample) uint64 {
	return s.control.Links.MessagesSent + s.control.Links.MessagesReceived
}

func payloadBytes(s *sample) uint64 {
	return s.control.Links.BytesSent + s.control.Links.BytesReceived
}

// measureChanges publishes changes in sequence.
func (f *fleet) measureChanges(ctx context.Context, r *Result) error {
	before, err := f.sampleAll()
	if err != nil {
		return err
	}
	begin := time.Now()
	for range changeCount {
		published := time.Now()
		revision, err := f.publish()
		if err != nil {
			return err
		}
		bounded, cancel := context.WithTimeout(ctx, changeTimeout)
		elapsed, err := f.awaitRevision(bounded, revision, published)
		cancel()
		if err != nil {
			return err
		}
		r.ChangeSeconds = max(r.ChangeSeconds, elapsed.Seconds())
		if err := pause(ctx, 2*time.Second-elapsed); err != nil {
			return err
		}
	}
	after, err := f.sampleAll()
	if err != nil {
		return err
	}
	total := 0.0
	for i := range before {
		total += float64(payloadBytes(after[i])-payloadBytes(before[i])) / 1e3
	}
	mean := total / float64(len(before))
	idle := (r.Others.KBPerSecond*float64(r.Others.Nodes) + r.Readers.KBPerSecond*float64(r.Readers.Nodes)) / float64(len(before))
	r.ChangeKB = max(0, (mean-idle*time.Since(begin).Seconds())/changeCount)
	return nil
}

// measureZone stops all nodes of a zone at once and restarts them.
func (f *fleet) measureZone(ctx context.Context, r *Result) error {
	vms, err := f.stopZone("z1")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	begin := time.Now()
	if err := f.startNodes(vms); err != nil {
		return err
	}
	elapsed, err := f.awaitRevision(ctx, f.revision, begin)
	r.ZoneSeconds = elapsed.Seconds()
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/platform"
	standin "github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// maxConcurrentSamples limits the concurrent samples.
const maxConcurrentSamples = 16

// fleet is a running fleet with its platform.
type fleet struct {
	size      Size
	program   string
	dir       string
	store     *standin.Platform
	server    *http.Server
	processes []*process
	revision  uint64
	edits     int
}

// startPlatform runs the platform stand-in with the VM list and a catalogue.
func startPlatform(size Size, program, dir string) (*fleet, error) {
	log := event.NewLog(io.Discard, "platform", "", zerolog.ErrorLevel)
	f := &fleet{size: size, program: program, dir: dir}
	f.store = standin.New(&standin.Settings{ReadsPerSecond: standin.DefaultReadsPerSecond, History: 4, FirstRevision: 1}, log)
	list, err := json.Marshal(vmlist.NewGroupedList(&vmlist.List{VMs: size.vms()}))
	if err != nil {
		return nil, errors.Wrap(err, "encode VM list")
	}
	if err := f.store.Put(platform.KeyVMs, list); err != nil {
		return nil, errors.Wrap(err, "publish VM list")
	}
	f.revision = 1
	if _, err := f.publish(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", platformAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the platform")
	}
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(l) }() // ends with Close
	return f, nil
}

// publish publishes a new catalogue and returns its revision.
func (f *fleet) publish() (uint64, error) {
	data, err := f.size.catalogue(f.edits)
	if err != nil {
		return 0, err
	}
	f.edits++
	f.revision++
	return f.revision, errors.Wrap(f.store.Put(platform.KeyCatalogue, data), "publish catalogue")
}

// startNodes starts the nodes of the given VMs at once.
func (f *fleet) startNodes(vms []vmlist.VM) error {
	for _, vm := range vms {
		p, err := startProcess(f.program, f.dir, vm)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, p)
	}
	return nil
}

// stopZone stops the nodes of a zone gracefully and returns their VMs.
func (f *fleet) stopZone(zone string) ([]vmlist.VM, error) {
	var stopped []*process
	var vms []vmlist.VM
	var rest []*process
	for _, p := range f.processes {
		if p.vm.AvailabilityZone != zone {
			rest = append(rest, p)
			continue
		}
		p.terminate()
		stopped = append(stopped, p)
		vms = append(vms, p.vm)
	}
	f.processes = rest
	var first error
	for _, p := range stopped {
		if err := p.wait(); err != nil && first == nil {
			first = err
		}
	}
	return vms, first
}

// close stops all processes and the platform, and removes the directory.
func (f *fleet) close() error {
	for _, p := range f.processes {
		p.terminate()
	}
	var first error
	for _, p := range f.processes {
		if err := p.wait(); err != nil && first == nil {
			first = err
		}
	}
	_ = f.server.Close() // watches may still be open
	_ = os.RemoveAll(f.dir)
	return first
}

// awaitRevision waits until a revision is in force on all nodes and returns the
// time from begin until it is in force on the last one.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, begin time.Time) (time.Duration, error) {
	const poll = 20 * time.Millisecond
	for {
		last, missing := begin, 0
		for _, p := range f.processes {
			at, ok := p.inForceSince(revision)
			if !ok {
				missing++
			} else if at.After(last) {
				last = at
			}
		}
		if missing == 0 {
			return last.Sub(begin), nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Errorf("revision %d is missing on %d of %d nodes", revision, missing, len(f.processes))
		case <-time.After(poll):
		}
	}
}

// sampleAll samples all processes, in order.
func (f *fleet) sampleAll() ([]*sample, error) {
	out := make([]*sample, len(f.processes))
	var group errgroup.Group
	group.SetLimit(maxConcurrentSamples)
	for i, p := range f.processes {
		group.Go(func() error {
			s, err := takeSample(p)
			out[i] = s
			return err
		})
	}
	return out, group.Wait()
}

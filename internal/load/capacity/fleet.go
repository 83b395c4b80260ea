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

// samplers bounds the samples taken at once.
const samplers = 16

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

// publish puts a new catalogue and returns its revision.
func (f *fleet) publish() (uint64, error) {
	data, err := f.size.catalogue(f.edits)
	if err != nil {
		return 0, err
	}
	f.edits++
	f.revision++
	return f.revision, errors.Wrap(f.store.Put(platform.KeyCatalogue, data), "publish catalogue")
}

// start runs the nodes of some VMs at once.
func (f *fleet) start(vms []vmlist.VM) error {
	for _, vm := range vms {
		p, err := startProcess(f.program, f.dir, vm)
		if err != nil {
			return err
		}
		f.processes = append(f.processes, p)
	}
	return nil
}

// stopZone stops the nodes of a zone in the planned way and returns their VMs.
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

// close ends everything.
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

// await waits until a revision is in force on all nodes and returns the time
// from begin to the last of them.
func (f *fleet) await(ctx context.Context, revision uint64, begin time.Time) (time.Duration, error) {
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

// sampleAll samples all processes, in their order.
func (f *fleet) sampleAll() ([]*sample, error) {
	out := make([]*sample, len(f.processes))
	var group errgroup.Group
	group.SetLimit(samplers)
	for i, p := range f.processes {
		group.Go(func() error {
			s, err := take(p)
			out[i] = s
			return err
		})
	}
	return out, group.Wait()
}

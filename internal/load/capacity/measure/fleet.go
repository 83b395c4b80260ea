package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/load/layout"
	nodeplatform "github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	startTimeout          = 60 * time.Second
	pollInterval          = 50 * time.Millisecond
	platformHeaderTimeout = time.Second
)

// fleet is a running fleet with its platform.
type fleet struct {
	size          Size
	program       string
	dir           string
	store         *platform.Platform
	server        *http.Server
	peerSimulator *peerSimulator
	list          *vmlist.List
	processes     []*process
	runningVMs    int // VMs at the start of the list that run
	edits         int
}

// startFleet starts the platform stand-in and all nodes at once.
func startFleet(ctx context.Context, size Size, program, dir string) (*fleet, error) {
	if err := layout.Write(dir, plan, size.catalogue(0), size.deployment()); err != nil {
		return nil, err
	}
	f := &fleet{size: size, program: program, dir: dir}
	if err := f.startPlatform(); err != nil {
		return nil, err
	}
	var err error
	if f.peerSimulator, err = startPeerSimulator(f.size.listed(), fleetKey); err != nil {
		return f, err
	}
	for _, vm := range f.list.VMs[:f.runningVMs] {
		p, err := startProcess(program, dir, vm.Name)
		if err != nil {
			return f, err
		}
		f.processes = append(f.processes, p)
	}
	return f, f.awaitRevision(ctx, f.processes)
}

func (f *fleet) startPlatform() error {
	s, err := platform.ReadFile(filepath.Join(f.dir, "platform", "platform.json"))
	if err != nil {
		return err
	}
	f.store = platform.New(s, event.NewLog(io.Discard, "platform", "", zerolog.ErrorLevel))
	data, err := os.ReadFile(filepath.Join(f.dir, "platform", "vms.json"))
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	if f.list, err = vmlist.Decode(data); err != nil {
		return err
	}
	f.runningVMs = len(f.list.VMs)
	f.list.VMs = append(f.list.VMs, f.size.listed()...)
	if err := f.publishList(); err != nil {
		return err
	}
	if err := f.publishCatalogue(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	f.server = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: platformHeaderTimeout}
	go func() { _ = f.server.Serve(l) }() // ends with Close
	return nil
}

// publish stores a value as compact JSON, as a platform does.
func (f *fleet) publish(key string, value any) error {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	if err := e.Encode(value); err != nil {
		return errors.Wrapf(err, "encode %s", key)
	}
	return errors.Wrapf(f.store.Put(key, text.Bytes()), "publish %s", key)
}

// publishCatalogue publishes a catalogue that differs from the previous one.
func (f *fleet) publishCatalogue() error {
	f.edits++
	return f.publish(nodeplatform.KeyCatalogue, f.size.catalogue(f.edits))
}

// publishList publishes the VM list.
func (f *fleet) publishList() error {
	return f.publish(nodeplatform.KeyVMs, vmlist.NewGroupedList(f.list))
}

// awaitRevision waits until all given processes have a catalogue in force.
func (f *fleet) awaitRevision(ctx context.Context, processes []*process) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range processes {
		for {
			s, err := takeSample(ctx, p)
			if err == nil && s.revision > 0 {
				break
			}
			if !p.running() {
				return errors.Errorf("node of %s has ended; see %s", p.settings.VM, p.events.Name())
			}
			if err := pause(ctx, pollInterval); err != nil {
				return errors.WithMessagef(err, "node of %s has no catalogue in force", p.settings.VM)
			}
		}
	}
	return nil
}

// splitByZone returns the processes of a zone and the others.
func (f *fleet) splitByZone(zone string) (inside, outside []*process) {
	for _, p := range f.processes {
		if p.settings.AvailabilityZone == zone {
			inside = append(inside, p)
		} else {
			outside = append(outside, p)
		}
	}
	return inside, outside
}

// close stops all processes and servers, and returns the first error of a stop.
func (f *fleet) close() error {
	err := stop(f.processes)
	if f.peerSimulator != nil {
		f.peerSimulator.close()
	}
	if f.server != nil {
		_ = f.server.Close() // watches may still be open
	}
	return err
}

// stop stops processes gracefully, all at once.
func stop(processes []*process) error {
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
	}
	var first error
	for _, p := range processes {
		if err := p.wait(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-time.After(d):
		return nil
	}
}

package control

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/peer"
	"github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	platformAddress = "platform:80"
	platformZone    = "platform"
	fleetKey        = "a key of the whole fleet"
)

// testNode is a control side on the in-memory network.
type testNode struct {
	*Control
	vm       vmlist.VM
	holder   *fleetview.Holder
	reports  *fleetview.Reports
	registry metrics.Registry
	server   *http.Server
	listener *listener
	client   *http.Client
	started  time.Time
	events   *lockedBuffer
	mu       sync.Mutex
	paused   time.Duration // added to the process time
}

// fleet is a set of nodes with a fake platform.
type fleet struct {
	network     *network
	platform    *fakePlatform
	server      *http.Server
	nodes       map[string]*testNode
	vms         []vmlist.VM
	incarnation uint64
	startWindow time.Duration
}

// newFleet creates the VMs of some zones and the platform. It starts no node.
func newFleet(zones, perZone int) *fleet {
	f := &fleet{network: newNetwork(), platform: newFakePlatform(), nodes: map[string]*testNode{}, startWindow: time.Millisecond}
	for z := range zones {
		for i := range perZone {
			name := fmt.Sprintf("vm-%d-%d", z, i)
			f.vms = append(f.vms, vmlist.VM{
				Name: name, AvailabilityZone: fmt.Sprintf("zone-%d", z), Region: "vestland", Service: "stock",
				PeerAddress: name + ":1", CallerAddress: name + ":2", State: vmlist.Live,
			})
		}
	}
	f.platform.put(platform.KeyVMs, listOf(f.vms))
	f.platform.put(platform.KeyCatalogue, catalogueWith(0))
	f.server = &http.Server{Handler: f.platform, ErrorLog: log.New(io.Discard, "", 0)}
	l := f.network.listen(platformZone, platformAddress)
	go func() { _ = f.server.Serve(l) }()
	return f
}

func (f *fleet) startAll() {
	for _, vm := range f.vms {
		f.start(vm)
	}
}

// start runs a node on a VM under a new incarnation.
func (f *fleet) start(vm vmlist.VM) *testNode {
	f.incarnation++
	n := &testNode{vm: vm, holder: &fleetview.Holder{}, reports: fleetview.NewReports(), registry: metrics.NewRegistry(), started: time.Now(), events: &lockedBuffer{}}
	n.client = &http.Client{Transport: &http.Transport{DialContext: f.network.dialer(vm.AvailabilityZone)}}
	c, err := Start(context.Background(), Config{
		Settings: &settings.Node{
			VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
			PeerAddress: vm.PeerAddress, PlatformAddresses: []string{platformAddress}, FleetKey: fleetKey,
		},
		Incarnation: f.incarnation,
		Log:         event.NewLog(n.events, "node", vm.Name, zerolog.DebugLevel),
		Holder:      n.holder,
		Reports:     n.reports,
		Registry:    n.registry,
		HTTP:        n.client,
		Now:         n.now,
		StartWindow: f.startWindow,
	})
	if err != nil {
		panic(err)
	}
	n.Control = c
	mux := http.NewServeMux()
	mux.Handle(peer.Path, c.PeerHandler())
	n.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	n.listener = f.network.listen(vm.AvailabilityZone, vm.PeerAddress)
	go func() { _ = n.server.Serve(n.listener) }()
	f.nodes[vm.Name] = n
	return n
}

func (n *testNode) now() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.started) + n.paused
}

// pause advances the process time by d, as if the process had not run for d.
func (n *testNode) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused += d
}

// crash ends a node without an announcement to its peers.
func (f *fleet) crash(vm string) {
	n := f.nodes[vm]
	delete(f.nodes, vm)
	_ = n.listener.Close()
	n.cancel()
	_ = n.server.Close()
	n.shutDown()
}

// stop ends a node by the planned stop.
func (f *fleet) stop(vm string) {
	n := f.nodes[vm]
	delete(f.nodes, vm)
	n.Leave()
	n.shutDown()
	_ = n.server.Close()
}

func (n *testNode) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := n.Stop(ctx); err != nil {
		panic(err)
	}
	n.client.CloseIdleConnections()
}

// close ends all nodes and the platform.
func (f *fleet) close() {
	for vm := range f.nodes {
		f.crash(vm)
	}
	_ = f.server.Close()
}

// inForce reports whether a revision is in force on all nodes of a zone, or on
// all nodes when zone is empty.
func (f *fleet) inForce(revision uint64, zone string) bool {
	for _, n := range f.nodes {
		if (zone == "" || n.vm.AvailabilityZone == zone) && n.holder.Load().Revision != revision {
			return false
		}
	}
	return true
}

// lockedBuffer is a buffer for event logs that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text []byte
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text = append(b.text, p...)
	return len(p), nil
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return string(b.text)
}

// Incarnation identifies the run of the process.
func (n *testNode) Incarnation() uint64 {
	return n.thread.Incarnation
}

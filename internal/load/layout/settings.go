package layout

import (
	"path/filepath"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/runner"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/standin/relay"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// Retry limits of the baseline, in which endpoints call each other directly.
const (
	directTries        = 3
	directTryTimeoutMs = 1000
)

// generator generates the documents of one deployment.
type generator struct {
	dir        string
	plan       Plan
	catalogue  *catalogue.Catalogue
	deployment *deployment.Deployment
	vms        []Addresses
}

func (g *generator) node(a Addresses) *settings.Node {
	n := &settings.Node{
		VM:                a.VM,
		AvailabilityZone:  a.AvailabilityZone,
		Region:            g.deployment.Region,
		Service:           a.Service,
		CallerAddress:     a.Caller,
		PeerAddress:       a.Advertised,
		OutboundAddress:   a.Outbound,
		EndpointAddress:   a.Endpoint,
		StatusAddress:     a.Status,
		PlatformAddresses: []string{g.plan.platformAddressForNodes()},
		FleetKey:          g.deployment.FleetKey,
	}
	if g.plan.Relay {
		n.PeerListenAddress = a.Peer
		n.DialFromAddress = a.ip()
	}
	return n
}

func (g *generator) vmList() *vmlist.List {
	list := &vmlist.List{}
	for _, a := range g.vms {
		list.VMs = append(list.VMs, vmlist.VM{
			Name:             a.VM,
			AvailabilityZone: a.AvailabilityZone,
			Region:           g.deployment.Region,
			Service:          a.Service,
			PeerAddress:      a.Advertised,
			CallerAddress:    a.Caller,
			State:            vmlist.Live,
		})
	}
	return list
}

func (g *generator) platform() *platform.Settings {
	address, admin := g.plan.platform()
	return &platform.Settings{
		Address:        address,
		AdminAddress:   admin,
		ReadsPerSecond: g.deployment.Platform.ReadsPerSecond,
		VMListLagMs:    g.deployment.Platform.VMListLagMs,
		Keys: []platform.KeyFile{
			{Key: "catalogue", File: g.path("platform", "catalogue.json")},
			{Key: "vms", File: g.path("platform", "vms.json")},
		},
	}
}

// endpoint returns the settings of the endpoint on one VM. mode determines how it
// calls other services.
func (g *generator) endpoint(number int, a Addresses, mode runner.Mode) *endpoint.Settings {
	service, vm := g.findVM(a.VM)
	e := &endpoint.Settings{
		VM:               a.VM,
		Service:          a.Service,
		EndpointAddress:  a.Endpoint,
		AdminAddress:     a.Admin,
		TruthFile:        g.path(a.VM, "truth-"+string(mode)+".jsonl"),
		Seed:             uint64(number) + 1,
		Slots:            vm.Slots,
		QueueMax:         vm.Queue,
		Connections:      vm.Connections,
		ConnectionCostMs: service.ConnectionCostMs,
		ProbeCostMs:      service.ProbeCostMs,
		ColdStart:        service.ColdStart,
		DrainLingerMs:    g.plan.DrainLingerMs,
		HealthReporting:  vm.HealthReporting,
	}
	if vm.ColdStart != nil {
		e.ColdStart = *vm.ColdStart
	}
	for i := range g.catalogue.Routes {
		if r := &g.catalogue.Routes[i]; r.Service == a.Service {
			e.Routes = append(e.Routes, g.route(r))
		}
	}
	switch mode {
	case runner.ModeGalenacart:
		e.Downstream = endpoint.Downstream{RoutingMode: endpoint.RoutingModeNode, OutboundAddress: a.Outbound}
	case runner.ModeFixedLimit:
		e.QueueMax = 0 // the limit is the number of slots
		e.Downstream = g.directDownstream()
	default:
		e.Downstream = g.directDownstream()
	}
	return e
}

// findVM returns a VM of the deployment and its service.
func (g *generator) findVM(name string) (*deployment.Service, *deployment.VM) {
	for i := range g.deployment.Services {
		s := &g.deployment.Services[i]
		for j := range s.VMs {
			if s.VMs[j].Name == name {
				return s, &s.VMs[j]
			}
		}
	}
	return nil, nil
}

func (g *generator) route(r *catalogue.Route) endpoint.Route {
	work := g.deployment.Route(r.Name)
	out := endpoint.Route{Method: r.Method, Path: r.Path, ServiceTime: work.ServiceTime}
	for _, name := range work.Calls {
		for i := range g.catalogue.Routes {
			if called := &g.catalogue.Routes[i]; called.Name == name {
				out.Children = append(out.Children, endpoint.Child{
					Service: called.Service, Method: called.Method, Path: called.Path,
				})
			}
		}
	}
	return out
}

// directDownstream returns the settings for direct calls between endpoints.
func (g *generator) directDownstream() endpoint.Downstream {
	down := endpoint.Downstream{RoutingMode: endpoint.RoutingModeDirect, Tries: directTries, TryTimeoutMs: directTryTimeoutMs}
	for _, s := range g.targets(runner.ModeDirect, "").Services {
		down.Endpoints = append(down.Endpoints, endpoint.ServiceEndpoints{Service: s.Service, Addresses: s.Endpoints})
	}
	return down
}

// relay returns the settings of the relay.
func (g *generator) relay() *relay.Settings {
	address, _ := g.plan.platform()
	r := &relay.Settings{
		AdminAddress: g.plan.relayAdmin(),
		Routes:       []relay.Route{{Address: g.plan.platformAddressForNodes(), Target: address}},
	}
	for _, a := range g.vms {
		r.Routes = append(r.Routes, relay.Route{Address: a.Advertised, Target: a.Peer, AvailabilityZone: a.AvailabilityZone})
		r.Sources = append(r.Sources, relay.Source{Address: a.ip(), AvailabilityZone: a.AvailabilityZone})
	}
	return r
}

// targets returns the targets in one availability zone, or in all if zone is empty.
func (g *generator) targets(mode runner.Mode, zone string) *runner.Targets {
	t := &runner.Targets{Mode: mode}
	for _, s := range g.deployment.Services {
		one := runner.ServiceTargets{Service: s.Name}
		for _, a := range g.vms {
			if a.Service == s.Name && (zone == "" || a.AvailabilityZone == zone) {
				one.Endpoints = append(one.Endpoints, a.Endpoint)
				one.Nodes = append(one.Nodes, a.Caller)
				one.AdminAddresses = append(one.AdminAddresses, a.Admin)
			}
		}
		if len(one.Nodes) > 0 {
			t.Services = append(t.Services, one)
		}
	}
	return t
}

func (g *generator) path(parts ...string) string {
	return filepath.Join(append([]string{g.dir}, parts...)...)
}

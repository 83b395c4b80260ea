// Package measure takes the measurements that package planning evaluates: it runs
// fleets of real node processes on loopback addresses and samples them while idle,
// while VMs leave and join, and under calls. All processes end with this one.
package measure

import (
	"fmt"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/layout"
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// plan holds the addresses of the fleets.
var plan = layout.Plan{Network: "127.33", PortBase: 22000}

const (
	region   = "region"
	fleetKey = "a fleet key for measurements"
	class    = "work"
	owner    = "measurement"

	// serviceFront and serviceBack have one VM each: calls enter at serviceFront
	// and are answered at serviceBack.
	serviceFront = "front"
	serviceBack  = "back"

	slots       = 64
	queue       = 64
	connections = 400
	timeoutMs   = 1000
)

// Size is the size of one fleet.
type Size struct {
	// Nodes is the number of node processes.
	Nodes int
	// Zones is the number of availability zones.
	Zones int
	// Listed is the number of further VMs in the VM list, without processes.
	Listed int
	// Services is the number of services in the catalogue, at least 3.
	Services int
}

func (s Size) serviceName(i int) string {
	switch i {
	case 0:
		return serviceFront
	case 1:
		return serviceBack
	default:
		return fmt.Sprintf("service-%d", i)
	}
}

func zoneName(i int) string {
	return fmt.Sprintf("zone-%d", i)
}

// catalogue returns a catalogue whose content depends on edit.
func (s Size) catalogue(edit int) *catalogue.Catalogue {
	c := &catalogue.Catalogue{
		Classes:     []catalogue.Class{{Name: class, Owner: owner}},
		Retry:       catalogue.Retry{BudgetPerRequest: 3, PercentOfSuccesses: 10},
		Idempotency: catalogue.Idempotency{TokenLifetimeMs: 60_000, RecordsMax: 10_000, AnswerBytesMax: 1024},
	}
	for i := range s.Services {
		name := s.serviceName(i)
		c.Services = append(c.Services, catalogue.Service{
			Name: name, Owner: owner, Class: class,
			Limits: catalogue.ServiceLimits{Slots: slots, Connections: connections, Queue: queue},
		})
		c.Routes = append(c.Routes, catalogue.Route{
			Name: "read-" + name, Owner: owner, Class: class, Service: name, Method: "GET", Path: "/" + name,
			Idempotent: true, Limits: catalogue.RouteLimits{TimeoutMs: timeoutMs},
		})
	}
	c.Routes[0].Limits.TimeoutMs += edit
	return c
}

// deployment distributes the VMs over zones and services.
func (s Size) deployment() *deployment.Deployment {
	d := &deployment.Deployment{
		Name: "capacity", Region: region, FleetKey: fleetKey,
		Platform: deployment.Platform{ReadsPerSecond: 2000},
	}
	for i := range s.Zones {
		d.AvailabilityZones = append(d.AvailabilityZones, zoneName(i))
	}
	for i := range s.Services {
		name := s.serviceName(i)
		d.Services = append(d.Services, deployment.Service{Name: name})
		d.Routes = append(d.Routes, deployment.Route{
			Name:        "read-" + name,
			ServiceTime: endpoint.ServiceTime{Distribution: endpoint.Constant, MeanMs: 1},
		})
	}
	for i := range s.Nodes {
		service := i
		if i >= 2 {
			service = 2 + (i-2)%(s.Services-2)
		}
		d.Services[service].VMs = append(d.Services[service].VMs, deployment.VM{
			Name: fmt.Sprintf("vm-%d", i), AvailabilityZone: zoneName(i % s.Zones),
			Slots: slots, Queue: queue, Connections: connections,
		})
	}
	return d
}

const (
	// listedZones is the number of zones of the VMs that are only listed.
	listedZones = 7
	// listedHosts is the number of IP addresses of these VMs in each zone. Further
	// VMs use other ports on the same addresses.
	listedHosts = 200
	// listedPorts is the step between these ports.
	listedPorts = 10

	listedFirstZoneByte = 100 // third byte of the addresses of the first zone
	listedPeerPort      = 22001
	listedCallerPort    = 22000
)

// listed returns the VMs that are only listed. They are in separate zones, so that
// they are never chosen as readers in the zones of running nodes.
func (s Size) listed() []vmlist.VM {
	var all []vmlist.VM
	for i := range s.Listed {
		zone, number := s.Zones+i%listedZones, i/listedZones
		ip := fmt.Sprintf("%s.%d.%d", plan.Network, listedFirstZoneByte+zone, 1+number%listedHosts)
		ports := number / listedHosts * listedPorts
		all = append(all, vmlist.VM{
			Name: fmt.Sprintf("vm-%d", s.Nodes+i), AvailabilityZone: zoneName(zone), Region: region,
			Service:       s.serviceName(2 + i%(s.Services-2)),
			PeerAddress:   fmt.Sprintf("%s:%d", ip, listedPeerPort+ports),
			CallerAddress: fmt.Sprintf("%s:%d", ip, listedCallerPort+ports),
			State:         vmlist.Live,
		})
	}
	return all
}

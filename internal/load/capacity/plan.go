// Package capacity measures the cost of the control plane on a node: it runs
// fleets of real node processes on loopback addresses and samples them.
package capacity

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const (
	network  = "127.31" // prefix of all addresses
	fleetKey = "a key for measurements only"
	region   = "region"

	portCaller   = 21000
	portPeer     = 21001
	portOutbound = 21002
	portEndpoint = 21003
	portStatus   = 21004

	platformAddress = network + ".0.1:21000"
)

// Size is the size of one fleet to measure.
type Size struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones with nodes.
	Zones int `json:"zones"`
	// Listed is the number of further VMs in the VM list, without processes.
	Listed int `json:"listed"`
	// Services is the number of services in the catalogue, each with three routes.
	Services int `json:"services"`
}

// vms returns the VM list, starting with the VMs that run a node.
func (s Size) vms() []vmlist.VM {
	var list []vmlist.VM
	for i := range s.Nodes {
		list = append(list, s.vm(i, 1+i%s.Zones, 1+i/s.Zones))
	}
	const otherZones, perBlock = 7, 200
	for i := range s.Listed {
		zone := 100 + i%otherZones
		list = append(list, s.vm(s.Nodes+i, zone, 1+i/otherZones%perBlock))
	}
	return list
}

func (s Size) vm(number, zone, host int) vmlist.VM {
	ip := fmt.Sprintf("%s.%d.%d", network, zone, host)
	return vmlist.VM{
		Name:             fmt.Sprintf("vm-%d", number),
		AvailabilityZone: fmt.Sprintf("z%d", zone),
		Region:           region,
		Service:          fmt.Sprintf("s%d", number%s.Services),
		PeerAddress:      fmt.Sprintf("%s:%d", ip, portPeer),
		CallerAddress:    fmt.Sprintf("%s:%d", ip, portCaller),
		State:            vmlist.Live,
	}
}

// catalogue returns a valid catalogue whose content depends on edit.
func (s Size) catalogue(edit int) ([]byte, error) {
	c := catalogue.Catalogue{
		Classes:     []catalogue.Class{{Name: "booking", Owner: "dispatch"}, {Name: "lookup", Owner: "field"}},
		Retry:       catalogue.Retry{BudgetPerRequest: 3, PercentOfSuccesses: 10},
		Idempotency: catalogue.Idempotency{TokenLifetimeMs: 10_000, RecordsMax: 1000, AnswerBytesMax: 1000},
	}
	for i := range s.Services {
		name := fmt.Sprintf("s%d", i)
		c.Services = append(c.Services, catalogue.Service{
			Name: name, Owner: "team", Class: "lookup",
			Limits: catalogue.ServiceLimits{Slots: 50, Connections: 400, Queue: 100},
		})
		for r, method := range []string{"GET", "POST", "DELETE"} {
			c.Routes = append(c.Routes, catalogue.Route{
				Name: fmt.Sprintf("%s-%d", name, r), Owner: "team", Class: "lookup", Service: name,
				Method: method, Path: "/" + name, Idempotent: r == 0, Limits: catalogue.RouteLimits{TimeoutMs: 1000},
			})
		}
	}
	c.Routes[0].Limits.TimeoutMs += edit
	data, err := json.Marshal(c)
	return data, errors.Wrap(err, "encode catalogue")
}

// writeSettings writes the settings of one node and returns the file name.
func writeSettings(dir string, vm vmlist.VM) (string, error) {
	var zone, host int
	if _, err := fmt.Sscanf(vm.PeerAddress, network+".%d.%d:", &zone, &host); err != nil {
		return "", errors.Wrapf(err, "address of %s", vm.Name)
	}
	address := func(port int) string { return fmt.Sprintf("%s.%d.%d:%d", network, zone, host, port) }
	s := settings.Node{
		VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Region: vm.Region, Service: vm.Service,
		CallerAddress: address(portCaller), PeerAddress: address(portPeer), OutboundAddress: address(portOutbound),
		EndpointAddress: address(portEndpoint), StatusAddress: address(portStatus),
		PlatformAddresses: []string{platformAddress}, FleetKey: fleetKey, StopTimeoutMs: 5000, LogLevel: "info",
	}
	data, err := json.Marshal(s)
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(dir, vm.Name+".json")
	return file, errors.Wrap(os.WriteFile(file, data, 0o600), "write settings")
}

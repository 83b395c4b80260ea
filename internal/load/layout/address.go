// Package layout writes the settings of every process of a deployment on one
// machine.
package layout

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/deployment"
)

// Plan determines the addresses of the processes of a deployment.
type Plan struct {
	// Network holds the first two bytes of all addresses. It must be in 127.0.0.0/8.
	Network string
	// PortBase is the first of the ports that each VM uses.
	PortBase int
	// Relay places a relay between availability zones: nodes reach each other and
	// the platform through it.
	Relay bool
	// DrainLingerMs is the minimum time for which a draining endpoint still
	// answers, in milliseconds.
	DrainLingerMs int
}

// Offsets of a VM's ports from the plan's port base.
const (
	portCaller = iota
	portPeer
	portOutbound
	portEndpoint
	portStatus
	portAdmin
	portsPerVM
)

// relayZoneOffset is added to the third byte of an address to get the relay's
// address for it.
const relayZoneOffset = 100

const (
	maxPort  = 32767 // ports above may be taken by outgoing connections
	maxHosts = 250
)

// Addresses holds the listen addresses of the processes of one VM.
type Addresses struct {
	// VM is the VM's name.
	VM string
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string
	// Service is the service of the VM's endpoint.
	Service string
	// Caller is the node's address for callers.
	Caller string
	// Peer is the node's address for other nodes.
	Peer string
	// Advertised is the address that other nodes connect to: Peer, or the relay's
	// address for it.
	Advertised string
	// Outbound is the node's address for the endpoint's own calls.
	Outbound string
	// Endpoint is the endpoint's address.
	Endpoint string
	// Status is the node's address for operators.
	Status string
	// Admin is the endpoint stand-in's address for experiments.
	Admin string
}

// ip returns the IP address of the VM.
func (a *Addresses) ip() string {
	host, _, _ := strings.Cut(a.Peer, ":")
	return host
}

// check returns an error unless all addresses are on the loopback network and the
// ports are usable.
func (p Plan) check() error {
	ip, err := netip.ParseAddr(p.Network + ".0.1")
	if err != nil || !ip.IsLoopback() {
		return errors.Errorf("network %q: want two numbers that begin with 127, such as 127.20", p.Network)
	}
	if p.PortBase < 1024 || p.PortBase+portsPerVM > maxPort {
		return errors.Errorf("port base %d: want 1024 to %d", p.PortBase, maxPort-portsPerVM)
	}
	return nil
}

// platform returns the addresses of the platform stand-in.
func (p Plan) platform() (address, admin string) {
	return p.address(0, 1, portCaller), p.address(0, 1, portAdmin)
}

// platformAddressForNodes returns the address of the platform for nodes.
func (p Plan) platformAddressForNodes() string {
	if p.Relay {
		return p.address(relayZoneOffset, 1, portCaller)
	}
	return p.address(0, 1, portCaller)
}

// relayAdmin returns the admin address of the relay.
func (p Plan) relayAdmin() string {
	return p.address(relayZoneOffset, 1, portAdmin)
}

// vms returns the addresses of each VM. Each VM has a separate IP address, with
// the number of its availability zone in the third byte.
func (p Plan) vms(d *deployment.Deployment) ([]Addresses, error) {
	zones := make(map[string]int, len(d.AvailabilityZones))
	for i, z := range d.AvailabilityZones {
		zones[z] = i + 1
	}
	hosts := map[int]int{}
	var all []Addresses
	for _, s := range d.Services {
		for _, vm := range s.VMs {
			zone := zones[vm.AvailabilityZone]
			hosts[zone]++
			host := hosts[zone]
			if host > maxHosts {
				return nil, errors.Errorf("availability zone %s: more than %d VMs", vm.AvailabilityZone, maxHosts)
			}
			peerZone := zone
			if p.Relay {
				peerZone += relayZoneOffset
			}
			all = append(all, Addresses{
				VM: vm.Name, AvailabilityZone: vm.AvailabilityZone, Service: s.Name,
				Caller:     p.address(zone, host, portCaller),
				Peer:       p.address(zone, host, portPeer),
				Advertised: p.address(peerZone, host, portPeer),
				Outbound:   p.address(zone, host, portOutbound),
				Endpoint:   p.address(zone, host, portEndpoint),
				Status:     p.address(zone, host, portStatus),
				Admin:      p.address(zone, host, portAdmin),
			})
		}
	}
	return all, nil
}

func (p Plan) address(zone, host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", p.Network, zone, host, p.PortBase+port)
}

package settings

import (
	"fmt"
	"net/netip"

	"github.com/galenacart/galenacart/internal/strictjson"
)

func (n *Node) check() []strictjson.Fault {
	k := &checker{faults: strictjson.Validate(n), owners: make(map[netip.AddrPort]string)}
	own := []struct{ pointer, value string }{
		{"/callerAddress", n.CallerAddress},
		{"/peerAddress", n.PeerAddress},
		{"/peerListenAddress", n.PeerListenAddress},
		{"/outboundAddress", n.OutboundAddress},
		{"/endpointAddress", n.EndpointAddress},
		{"/statusAddress", n.StatusAddress},
	}
	for _, a := range own {
		if address, ok := k.address(a.pointer, a.value); ok {
			k.unique(a.pointer, address)
		}
	}
	for i, value := range n.PlatformAddresses {
		k.address(fmt.Sprintf("/platformAddresses/%d", i), value)
	}
	k.loopback("/outboundAddress", n.OutboundAddress)
	k.ip("/dialFromAddress", n.DialFromAddress)
	return k.faults
}

// checker collects the faults of addresses.
type checker struct {
	faults []strictjson.Fault
	owners map[netip.AddrPort]string // the pointer to the setting with an address
}

func (k *checker) fault(pointer, format string, args ...any) {
	k.faults = append(k.faults, strictjson.Fault{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

// address checks an IP address and port. A missing one is a fault of its own.
func (k *checker) address(pointer, value string) (netip.AddrPort, bool) {
	if value == "" {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		k.fault(pointer, "have %q; want an IP address and a port from 1, such as \"10.0.0.1:7000\"", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

// ip checks an optional IP address without a port.
func (k *checker) ip(pointer, value string) {
	if _, err := netip.ParseAddr(value); value != "" && err != nil {
		k.fault(pointer, "have %q; want an IP address without a port, such as \"10.0.0.1\"", value)
	}
}

// unique refuses an address that two settings share: only one of them could
// listen on it.
func (k *checker) unique(pointer string, address netip.AddrPort) {
	if other, taken := k.owners[address]; taken {
		k.fault(pointer, "%s is the address of %s already; want another port", address, other)
		return
	}
	k.owners[address] = pointer
}

// loopback refuses an address that other machines could reach.
func (k *checker) loopback(pointer, value string) {
	address, err := netip.ParseAddrPort(value)
	if err == nil && !address.Addr().IsLoopback() {
		k.fault(pointer, "have %q; want a loopback address such as \"127.0.0.1:7002\", for the local endpoint only", value)
	}
}

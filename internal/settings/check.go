package settings

import (
	"fmt"
	"net/netip"

	"github.com/galenacart/galenacart/internal/strictjson"
)

func (n *Node) check() []strictjson.Fault {
	c := &checker{faults: strictjson.Validate(n), pointers: make(map[netip.AddrPort]string)}
	local := []struct{ pointer, value string }{
		{"/callerAddress", n.CallerAddress},
		{"/peerAddress", n.PeerAddress},
		{"/peerListenAddress", n.PeerListenAddress},
		{"/outboundAddress", n.OutboundAddress},
		{"/endpointAddress", n.EndpointAddress},
		{"/statusAddress", n.StatusAddress},
	}
	for _, a := range local {
		if address, ok := c.address(a.pointer, a.value); ok {
			c.unique(a.pointer, address)
		}
	}
	for i, value := range n.PlatformAddresses {
		c.address(fmt.Sprintf("/platformAddresses/%d", i), value)
	}
	c.loopback("/outboundAddress", n.OutboundAddress)
	c.ip("/dialFromAddress", n.DialFromAddress)
	return c.faults
}

// checker collects the faults of one settings document.
type checker struct {
	faults   []strictjson.Fault
	pointers map[netip.AddrPort]string // JSON pointer of the setting that uses an address
}

func (c *checker) addFault(pointer, format string, args ...any) {
	c.faults = append(c.faults, strictjson.Fault{Pointer: pointer, Reason: fmt.Sprintf(format, args...)})
}

// address checks an IP address and port. It ignores a missing one, which is reported
// by strictjson.Validate.
func (c *checker) address(pointer, value string) (netip.AddrPort, bool) {
	if value == "" {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		c.addFault(pointer, "have %q; want an IP address and a port from 1, such as \"10.0.0.1:7000\"", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

// ip checks an optional IP address without a port.
func (c *checker) ip(pointer, value string) {
	if _, err := netip.ParseAddr(value); value != "" && err != nil {
		c.addFault(pointer, "have %q; want an IP address without a port, such as \"10.0.0.1\"", value)
	}
}

// unique reports an address that two settings share: only one of them could listen
// on it.
func (c *checker) unique(pointer string, address netip.AddrPort) {
	if other, taken := c.pointers[address]; taken {
		c.addFault(pointer, "%s is the address of %s already; want another port", address, other)
		return
	}
	c.pointers[address] = pointer
}

// loopback reports an address that other machines could reach.
func (c *checker) loopback(pointer, value string) {
	address, err := netip.ParseAddrPort(value)
	if err == nil && !address.Addr().IsLoopback() {
		c.addFault(pointer, "have %q; want a loopback address such as \"127.0.0.1:7002\", for the local endpoint only", value)
	}
}

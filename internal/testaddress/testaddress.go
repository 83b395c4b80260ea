// Package testaddress allocates loopback addresses for tests that must know an
// address before a program listens on it.
//
// A port that the kernel chose and that was closed again may be assigned to another
// process before the program binds it. The addresses of this package are not: the
// process ID is part of the IP address, so that no two running processes share one,
// and the ports are below the kernel's range of ephemeral ports.
package testaddress

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort is the lowest allocated port.
const firstPort = 10000

// portCount is the number of allocated ports before the first one is reused. The
// last one is below 32768, where the kernel's ephemeral ports start.
const portCount = 20000

var issued atomic.Uint32

// New returns an IP address and port, such as 127.64.3.232:10000, that is unique
// among all calls in this process and all other running processes.
func New() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	port := firstPort + (issued.Add(1)-1)%portCount
	return net.JoinHostPort(ip.String(), strconv.Itoa(int(port)))
}

// sharedPortCount is the number of ports that NewSharedPort allocates in one process.
const sharedPortCount = 300

// NewSharedPort returns at most 63 addresses with different IP addresses and the same
// port, which are unique among all calls in this process and all other running
// processes.
func NewSharedPort(count int) []netip.AddrPort {
	pid := os.Getpid()
	port := firstPort + (pid>>16&63)*sharedPortCount + int(issued.Add(1)-1)%sharedPortCount
	addresses := make([]netip.AddrPort, 0, count)
	for i := range count {
		ip := netip.AddrFrom4([4]byte{127, byte(1 + i), byte(pid >> 8), byte(pid)})
		addresses = append(addresses, netip.AddrPortFrom(ip, uint16(port))) //nolint:gosec // below 32768
	}
	return addresses
}

// Package testaddress hands out loopback addresses to tests that must know an
// address before a program listens on it.
//
// A port that the kernel chose and that was closed again may go to any other
// process before the program binds it. The addresses of this package can't:
// the process ID is part of the IP number, so that no two live processes share
// one, and the ports lie below those that the kernel gives to connections.
package testaddress

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

// firstPort is the lowest port handed out.
const firstPort = 10000

// ports is the number of ports handed out before the first comes again. The
// last one lies below 32768, where the kernel's own ports begin.
const ports = 20000

var handedOut atomic.Uint32

// New returns an IP number and port, as in 127.64.3.232:10000, that no other
// call in this process and no other live process was given.
func New() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16&63), byte(pid>>8), byte(pid))
	port := firstPort + (handedOut.Add(1)-1)%ports
	return net.JoinHostPort(ip.String(), strconv.Itoa(int(port)))
}

// shared is the number of ports that OnePort hands out in one process.
const shared = 300

// NewSharedPort returns addresses with one port, and IP numbers of their own, that no
// other call in this process and no other live process was given. There are at
// most 63.
func NewSharedPort(count int) []netip.AddrPort {
	pid := os.Getpid()
	port := firstPort + (pid>>16&63)*shared + int(handedOut.Add(1)-1)%shared
	addresses := make([]netip.AddrPort, 0, count)
	for i := range count {
		ip := netip.AddrFrom4([4]byte{127, byte(1 + i), byte(pid >> 8), byte(pid)})
		addresses = append(addresses, netip.AddrPortFrom(ip, uint16(port))) //nolint:gosec // below 32768
	}
	return addresses
}

package relay

import (
	"encoding/binary"
	"net"
	"net/netip"
	"unsafe"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// sourceOffset is the offset in bytes of the source address in an IPv4 packet,
	// relative to the network header (SKF_NET_OFF).
	sourceOffset = -0x100000 + 12
	dropPacket   = 0
	keepPacket   = 1<<32 - 1
	// instructionsMax is the kernel's limit on the length of a packet filter
	// (BPF_MAXINSNS).
	instructionsMax = 4096
)

// dropSources makes the kernel drop packets from the given IPv4 addresses before
// they reach the listener, so that new connections from there hang.
func dropSources(l *net.TCPListener, sources []netip.Addr) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	var attachErr error
	err = raw.Control(func(fd uintptr) { attachErr = attachFilter(int(fd), newFilter(sources)) })
	if err == nil {
		err = attachErr
	}
	return errors.Wrapf(err, "packet filter for %d sources", len(sources))
}

// newFilter returns a packet filter that drops packets from the sources.
func newFilter(sources []netip.Addr) []unix.SockFilter {
	loadOffset := int64(sourceOffset)
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: uint32(loadOffset)}}
	for _, s := range sources {
		ip := s.As4()
		filter = append(filter,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(ip[:])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket})
	}
	return append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: keepPacket})
}

func attachFilter(fd int, filter []unix.SockFilter) error {
	if len(filter) > instructionsMax {
		return errors.Errorf("%d instructions; want at most %d", len(filter), instructionsMax)
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: unsafe.SliceData(filter)}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

package inspect

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/strictjson"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// maxListBytes bounds the size of an address file or a VM list.
const maxListBytes = 4 << 20

// ReadAddresses reads a file of status addresses, one a line. Empty lines and
// lines that start with # are skipped.
func ReadAddresses(file string) ([]string, error) {
	data, err := strictjson.ReadFile(file, maxListBytes)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for number, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := CheckAddress(line); err != nil {
			return nil, errors.Wrapf(err, "%s: line %d", file, number+1)
		}
		addresses = append(addresses, line)
	}
	return addresses, nil
}

// ReadVMs reads a VM list and returns the status address of each VM: the IP
// address of its node with the given port.
func ReadVMs(file string, port uint16) ([]string, error) {
	list, err := strictjson.Load(file, maxListBytes, decodeVMs)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, 0, len(list.VMs))
	for _, vm := range list.VMs {
		peer, err := netip.ParseAddrPort(vm.PeerAddress)
		if err != nil {
			return nil, errors.Wrapf(err, "%s: VM %s", file, vm.Name)
		}
		addresses = append(addresses, netip.AddrPortFrom(peer.Addr(), port).String())
	}
	return addresses, nil
}

func decodeVMs(file string, data []byte) (*vmlist.List, error) {
	list, err := vmlist.Decode(data)
	return list, errors.Wrap(err, file)
}

// CheckAddress returns an error unless address is an IP address with a port.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return errors.Errorf("have %s; want an IP address and a port from 1, such as 10.0.0.1:7004", strconv.Quote(address))
	}
	return nil
}

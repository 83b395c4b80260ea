// Package address validates network addresses in the settings of stand-ins.
package address

import (
	"fmt"
	"net/netip"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// Check returns a fault unless value is an IP address with a non-zero port. It
// accepts an empty value, which the required-field validation reports.
func Check(pointer, value string) []strictjson.Fault {
	if value == "" {
		return nil
	}
	parsed, err := netip.ParseAddrPort(value)
	if err == nil && parsed.Port() != 0 {
		return nil
	}
	reason := fmt.Sprintf("have %q; want an IP address and a port from 1, such as \"127.0.0.1:7000\"", value)
	return []strictjson.Fault{{Pointer: pointer, Reason: reason}}
}

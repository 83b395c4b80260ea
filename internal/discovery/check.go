package discovery

import (
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/decision/registry"
)

const (
	// nameBytesMax bounds the texts of an entry. They are labels of metrics and go to every node.
	nameBytesMax = 200
	// slotsMax bounds the slots of an endpoint. Sums over a fleet of them stay far from the limits
	// of an int.
	slotsMax = 1 << 20
)

// CheckEndpoint returns an error if an entry can't be that of an endpoint: entries may come from
// other writers, and from nodes of earlier versions.
func CheckEndpoint(e *registry.Entry) error {
	for _, text := range []struct{ field, value string }{
		{"ID", e.ID}, {"service", e.Service}, {"availability zone", e.AvailabilityZone},
	} {
		if text.value == "" || len(text.value) > nameBytesMax {
			return errors.Errorf("the %s of the endpoint has %d bytes; want 1 to %d", text.field, len(text.value), nameBytesMax)
		}
	}
	if e.Slots < 1 || e.Slots > slotsMax {
		return errors.Errorf("the endpoint has %d slots; want 1 to %d", e.Slots, slotsMax)
	}
	address, err := netip.ParseAddrPort(e.Address)
	switch {
	case err != nil:
		return errors.Wrap(err, "address")
	case address.Port() == 0, address.Addr().Zone() != "", address.Addr().IsUnspecified(), address.Addr().IsMulticast():
		return errors.Errorf("the endpoint can't listen at %s", e.Address)
	default:
		return nil
	}
}

// dropInvalid removes the entries that CheckEndpoint rejects from an update of another node.
func (d *Directory) dropInvalid(entries []registry.Entry) []registry.Entry {
	return slices.DeleteFunc(entries, func(e registry.Entry) bool {
		err := CheckEndpoint(&e)
		if err != nil {
			d.ReportInvalid(e.ID, err)
		}
		return err != nil
	})
}

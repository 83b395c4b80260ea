// Package relay is a stand-in for the network between availability zones: it
// forwards TCP connections and can cut zones off.
package relay

import (
	"fmt"
	"net/netip"

	"github.com/galenacart/galenacart/internal/standin/address"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxSettingsBytes = 1 << 20

// Settings is the settings document of the relay.
type Settings struct {
	// AdminAddress is the IP address and port of the admin listener.
	AdminAddress string `json:"adminAddress" validate:"required"`
	// Routes lists where the relay listens and where it forwards to.
	Routes []Route `json:"routes" validate:"required,min=1,max=10000,dive"`
	// Sources tells the availability zone of those who connect.
	Sources []Source `json:"sources,omitempty" validate:"max=10000,dive"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Route forwards the connections of one address.
type Route struct {
	// Address is the IP address and port where the relay listens.
	Address string `json:"address" validate:"required"`
	// Target is the IP address and port that it forwards to.
	Target string `json:"target" validate:"required"`
	// AvailabilityZone is that of the target; empty outside of all, as the
	// platform is.
	AvailabilityZone string `json:"availabilityZone,omitempty" validate:"max=64"`
}

// Source is one IP address that connections come from.
type Source struct {
	// Address is the IP address.
	Address string `json:"address" validate:"required,ip"`
	// AvailabilityZone is its availability zone.
	AvailabilityZone string `json:"availabilityZone" validate:"required,max=64"`
}

// ReadFile reads and checks the settings in a file.
func ReadFile(file string) (*Settings, error) {
	return strictjson.Load(file, maxSettingsBytes, Decode)
}

// Decode reads and checks settings. The error is a *strictjson.Faults.
func Decode(file string, data []byte) (*Settings, error) {
	return strictjson.DecodeChecked(file, data, (*Settings).check)
}

func (s *Settings) check() []strictjson.Fault {
	faults := strictjson.Validate(s)
	faults = append(faults, address.Check("/adminAddress", s.AdminAddress)...)
	for i, r := range s.Routes {
		faults = append(faults, address.Check(fmt.Sprintf("/routes/%d/address", i), r.Address)...)
		faults = append(faults, address.Check(fmt.Sprintf("/routes/%d/target", i), r.Target)...)
	}
	return faults
}

// zones returns the availability zone of each source.
func (s *Settings) zones() map[netip.Addr]string {
	zones := make(map[netip.Addr]string, len(s.Sources))
	for _, one := range s.Sources {
		if ip, err := netip.ParseAddr(one.Address); err == nil {
			zones[ip] = one.AvailabilityZone
		}
	}
	return zones
}

// Package relay is a stand-in for the network between availability zones. It
// forwards TCP connections and simulates network partitions.
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
	// Routes lists the listen addresses and their targets.
	Routes []Route `json:"routes" validate:"required,min=1,max=10000,dive"`
	// Sources assigns source addresses to availability zones.
	Sources []Source `json:"sources,omitempty" validate:"max=10000,dive"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Route maps a listen address to a target.
type Route struct {
	// Address is the IP address and port on which the relay listens.
	Address string `json:"address" validate:"required"`
	// Target is the IP address and port to which the relay forwards.
	Target string `json:"target" validate:"required"`
	// AvailabilityZone is the zone of the target; empty if the target is outside
	// all zones, as the platform is.
	AvailabilityZone string `json:"availabilityZone,omitempty" validate:"max=64"`
}

// Source is a source address of connections and its availability zone.
type Source struct {
	// Address is the IP address.
	Address string `json:"address" validate:"required,ip"`
	// AvailabilityZone is the zone of the address.
	AvailabilityZone string `json:"availabilityZone" validate:"required,max=64"`
}

// ReadFile reads and validates a settings file.
func ReadFile(file string) (*Settings, error) {
	return strictjson.Load(file, maxSettingsBytes, Decode)
}

// Decode decodes and validates settings. The error is a *strictjson.Faults.
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
	for _, source := range s.Sources {
		if ip, err := netip.ParseAddr(source.Address); err == nil {
			zones[ip] = source.AvailabilityZone
		}
	}
	return zones
}

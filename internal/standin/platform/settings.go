// Package platform is a stand-in for the platform's key service. Nodes read and
// watch its keys; writes are possible only through its admin listener.
package platform

import (
	"fmt"
	"time"

	"github.com/galenacart/galenacart/internal/standin/address"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxSettingsBytes = 64 << 10

// Defaults of optional settings.
const (
	// DefaultReadsPerSecond is the rate limit for reads by all readers together.
	DefaultReadsPerSecond = 2000
	// DefaultHistory is the number of older states retained for a rollback.
	DefaultHistory = 100
)

// Settings is the settings document of the stand-in platform.
type Settings struct {
	// Address is the IP address and port of the key service.
	Address string `json:"address" validate:"required"`
	// AdminAddress is the IP address and port of the admin listener.
	AdminAddress string `json:"adminAddress" validate:"required"`
	// ReadsPerSecond is the rate limit for reads by all readers together. Default
	// 2000.
	ReadsPerSecond int `json:"readsPerSecond,omitempty" validate:"gte=0,lte=1000000"`
	// VMListLagMs is the delay until a new value of the key "vms" is published, in
	// milliseconds. Default 0.
	VMListLagMs int `json:"vmListLagMs,omitempty" validate:"gte=0,lte=3600000"`
	// History is the number of older states retained for a rollback. Default 100.
	History int `json:"history,omitempty" validate:"gte=0,lte=10000"`
	// FirstRevision is the revision of the first initial key. Default 1.
	FirstRevision uint64 `json:"firstRevision,omitempty"`
	// Keys lists the initial keys, in the order of their revisions.
	Keys []KeyFile `json:"keys,omitempty" validate:"max=1000,dive"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// KeyFile names the file that holds the initial value of a key.
type KeyFile struct {
	// Key is the name of the key.
	Key string `json:"key" validate:"required,max=256"`
	// File is the path of the file, of at most 1 MiB.
	File string `json:"file" validate:"required"`
}

// ReadFile reads and validates a settings file.
func ReadFile(file string) (*Settings, error) {
	return strictjson.Load(file, maxSettingsBytes, Decode)
}

// Decode decodes and validates settings and applies defaults. The error is a
// *strictjson.Faults.
func Decode(file string, data []byte) (*Settings, error) {
	s, err := strictjson.DecodeChecked(file, data, (*Settings).check)
	if err != nil {
		return nil, err
	}
	s.applyDefaults()
	return s, nil
}

func (s *Settings) check() []strictjson.Fault {
	faults := strictjson.Validate(s)
	faults = append(faults, address.Check("/address", s.Address)...)
	faults = append(faults, address.Check("/adminAddress", s.AdminAddress)...)
	seen := map[string]bool{}
	for i, k := range s.Keys {
		if seen[k.Key] {
			faults = append(faults, strictjson.Fault{Pointer: fmt.Sprintf("/keys/%d/key", i), Reason: "key stands twice: " + k.Key})
		}
		seen[k.Key] = true
	}
	return faults
}

func (s *Settings) applyDefaults() {
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = DefaultReadsPerSecond
	}
	if s.History == 0 {
		s.History = DefaultHistory
	}
	if s.FirstRevision == 0 {
		s.FirstRevision = 1
	}
}

// VMListLag returns the delay until a new VM list is published.
func (s *Settings) VMListLag() time.Duration {
	return time.Duration(s.VMListLagMs) * time.Millisecond
}

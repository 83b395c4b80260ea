package runner

import (
	"github.com/galenacart/galenacart/internal/strictjson"
)

// Mode is the way in which calls reach endpoints.
type Mode string

// The modes.
const (
	// ModeGalenacart sends all calls through nodes.
	ModeGalenacart Mode = "galenacart"
	// ModeDirect lets callers and endpoints call endpoints directly.
	ModeDirect Mode = "direct"
	// ModeFixedLimit is ModeDirect with endpoints that don't queue calls: each
	// runs a fixed number of calls concurrently and refuses the others.
	ModeFixedLimit Mode = "fixed-limit"
)

// Modes lists all modes.
func Modes() []Mode {
	return []Mode{ModeGalenacart, ModeDirect, ModeFixedLimit}
}

// Targets holds the addresses of the processes of a deployment.
type Targets struct {
	// Mode is the way in which calls reach endpoints.
	Mode Mode `json:"mode" validate:"required,oneof=galenacart direct fixed-limit"`
	// Services lists the endpoints.
	Services []ServiceTargets `json:"services" validate:"required,min=1,dive"`
}

// ServiceTargets holds the addresses of the endpoints of one service.
type ServiceTargets struct {
	// Service names the service.
	Service string `json:"service" validate:"required"`
	// Endpoints lists the endpoints' addresses.
	Endpoints []string `json:"endpoints" validate:"required,min=1"`
	// Nodes lists the caller addresses of the nodes beside the endpoints.
	Nodes []string `json:"nodes" validate:"required,min=1"`
	// AdminAddresses lists the endpoints' admin addresses.
	AdminAddresses []string `json:"admins" validate:"required,min=1"`
}

// Addresses returns the addresses that callers send the requests of a service to.
func (t *Targets) Addresses(service string) []string {
	if t.Mode == ModeGalenacart {
		return t.Nodes()
	}
	if s := t.service(service); s != nil {
		return s.Endpoints
	}
	return nil
}

// Nodes returns the caller addresses of all nodes.
func (t *Targets) Nodes() []string {
	var all []string
	for i := range t.Services {
		all = append(all, t.Services[i].Nodes...)
	}
	return all
}

func (t *Targets) service(name string) *ServiceTargets {
	for i := range t.Services {
		if t.Services[i].Service == name {
			return &t.Services[i]
		}
	}
	return nil
}

const maxTargetsBytes = 4 << 20

// ReadTargets reads and checks the targets in a file.
func ReadTargets(file string) (*Targets, error) {
	return strictjson.Load(file, maxTargetsBytes, decodeTargets)
}

func decodeTargets(file string, data []byte) (*Targets, error) {
	return strictjson.DecodeChecked(file, data, func(t *Targets) []strictjson.Fault { return strictjson.Validate(t) })
}

// SplitByService returns the nodes of all other services, and the endpoints of
// the given one.
func (t *Targets) SplitByService(service string) (nodes, endpoints []string) {
	for i := range t.Services {
		s := &t.Services[i]
		if s.Service == service {
			endpoints = s.Endpoints
			continue
		}
		nodes = append(nodes, s.Nodes...)
	}
	return nodes, endpoints
}

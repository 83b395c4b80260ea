package endpoint

import (
	"fmt"
	"slices"

	"github.com/galenacart/galenacart/internal/standin/address"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxSettingsBytes = 1 << 20

// Defaults of optional settings.
const (
	defaultSeed               = 1
	defaultRetryAfterSeconds  = 1
	defaultConnections        = 400
	defaultSigma              = 0.5
	defaultNodeTries          = 1
	defaultDirectTries        = 3
	defaultDirectTryTimeoutMs = 1000
)

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
	faults = append(faults, address.Check("/endpointAddress", s.EndpointAddress)...)
	faults = append(faults, address.Check("/adminAddress", s.AdminAddress)...)
	for i, r := range s.Routes {
		pointer := fmt.Sprintf("/routes/%d/serviceTime/distribution", i)
		faults = append(faults, checkOneOf(pointer, r.ServiceTime.Distribution, Constant, Exponential, Lognormal)...)
		if len(r.Children) > 0 && s.Downstream.RoutingMode == "" {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("/routes/%d/children", i),
				Reason:  "child calls need /downstream/way",
			})
		}
	}
	faults = append(faults, checkOneOf("/downstream/way", s.Downstream.RoutingMode, RoutingModeNode, RoutingModeDirect)...)
	return append(faults, s.checkDownstream()...)
}

// checkOneOf returns a fault unless value is empty or one of the known values.
func checkOneOf[T ~string](pointer string, value T, known ...T) []strictjson.Fault {
	if value == "" || slices.Contains(known, value) {
		return nil
	}
	return []strictjson.Fault{{Pointer: pointer, Reason: fmt.Sprintf("have %q; want one of %v", value, known)}}
}

func (s *Settings) checkDownstream() []strictjson.Fault {
	switch s.Downstream.RoutingMode {
	case RoutingModeNode:
		return s.checkNode()
	case RoutingModeDirect:
		return s.checkDirect()
	default:
		return nil
	}
}

func (s *Settings) checkNode() []strictjson.Fault {
	const pointer = "/downstream/outboundAddress"
	if s.Downstream.OutboundAddress == "" {
		return []strictjson.Fault{{Pointer: pointer, Reason: "the value is missing; the way node needs it"}}
	}
	return address.Check(pointer, s.Downstream.OutboundAddress)
}

func (s *Settings) checkDirect() []strictjson.Fault {
	var faults []strictjson.Fault
	known := map[string]bool{}
	for i, e := range s.Downstream.Endpoints {
		known[e.Service] = true
		for j, value := range e.Addresses {
			pointer := fmt.Sprintf("/downstream/endpoints/%d/addresses/%d", i, j)
			faults = append(faults, address.Check(pointer, value)...)
		}
	}
	for i, r := range s.Routes {
		for j, c := range r.Children {
			if !known[c.Service] {
				faults = append(faults, strictjson.Fault{
					Pointer: fmt.Sprintf("/routes/%d/children/%d/service", i, j),
					Reason:  "not in /downstream/endpoints: " + c.Service,
				})
			}
		}
	}
	return faults
}

func (s *Settings) applyDefaults() {
	setDefault(&s.Seed, defaultSeed)
	setDefault(&s.RetryAfterSeconds, defaultRetryAfterSeconds)
	setDefault(&s.Connections, defaultConnections)
	setDefault(&s.ColdStart.Factor, 1)
	for i := range s.Routes {
		r := &s.Routes[i]
		setDefault(&r.ServiceTime.Distribution, Constant)
		setDefault(&r.ServiceTime.Sigma, defaultSigma)
		for j := range r.Children {
			setDefault(&r.Children[j].Repeat, 1)
		}
	}
	if s.Downstream.RoutingMode == RoutingModeDirect {
		setDefault(&s.Downstream.Tries, defaultDirectTries)
		setDefault(&s.Downstream.TryTimeoutMs, defaultDirectTryTimeoutMs)
	}
	setDefault(&s.Downstream.Tries, defaultNodeTries)
}

// setDefault sets a field to value if it has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

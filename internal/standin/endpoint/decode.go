package endpoint

import (
	"fmt"
	"net/netip"

	"github.com/go-playground/validator/v10"

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

// ReadFile reads and checks the settings in a file.
func ReadFile(file string) (*Settings, error) {
	data, err := strictjson.ReadFile(file, maxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return Decode(file, data)
}

// Decode reads and checks settings and fills in defaults. The error is a
// *strictjson.Faults.
func Decode(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := strictjson.Decode(file, data, s); err != nil {
		return nil, err
	}
	if faults := s.check(); len(faults) > 0 {
		return nil, &strictjson.Faults{File: file, List: faults}
	}
	s.fillDefaults()
	return s, nil
}

func (s *Settings) check() []strictjson.Fault {
	var faults []strictjson.Fault
	if err := validator.New().Struct(s); err != nil {
		faults = append(faults, strictjson.Fault{Reason: err.Error()})
	}
	faults = append(faults, checkAddress("/endpointAddress", s.EndpointAddress)...)
	faults = append(faults, checkAddress("/adminAddress", s.AdminAddress)...)
	for i, r := range s.Routes {
		if len(r.Children) > 0 && s.Downstream.Way == "" {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("/routes/%d/children", i),
				Reason:  "child calls need /downstream/way",
			})
		}
	}
	return append(faults, s.checkDownstream()...)
}

func (s *Settings) checkDownstream() []strictjson.Fault {
	switch s.Downstream.Way {
	case WayNode:
		return checkAddress("/downstream/outboundAddress", s.Downstream.OutboundAddress)
	case WayDirect:
		return s.checkDirect()
	default:
		return nil
	}
}

func (s *Settings) checkDirect() []strictjson.Fault {
	var faults []strictjson.Fault
	known := map[string]bool{}
	for i, e := range s.Downstream.Endpoints {
		known[e.Service] = true
		for j, address := range e.Addresses {
			pointer := fmt.Sprintf("/downstream/endpoints/%d/addresses/%d", i, j)
			faults = append(faults, checkAddress(pointer, address)...)
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

func checkAddress(pointer, value string) []strictjson.Fault {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return []strictjson.Fault{{Pointer: pointer, Reason: fmt.Sprintf("want IP:port, have %q", value)}}
	}
	return nil
}

func (s *Settings) fillDefaults() {
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
	if s.Downstream.Way == WayDirect {
		setDefault(&s.Downstream.Tries, defaultDirectTries)
		setDefault(&s.Downstream.TryTimeoutMs, defaultDirectTryTimeoutMs)
	}
	setDefault(&s.Downstream.Tries, defaultNodeTries)
}

// setDefault gives a value to a field that has none.
func setDefault[T comparable](field *T, value T) {
	var none T
	if *field == none {
		*field = value
	}
}

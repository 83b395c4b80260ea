package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/experiment"
)

// controlTimeout limits one change of endpoint behaviour.
const controlTimeout = 5 * time.Second

// slowdowns tracks which services are slowed down.
type slowdowns struct {
	control EndpointControl
	slowed  []experiment.Slow
}

// apply slows the named services down and restores the normal speed of the others.
func (s *slowdowns) apply(ctx context.Context, slowed []experiment.Slow) error {
	if s.control == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, previous := range s.slowed {
		if containsService(slowed, previous.Service) {
			continue
		}
		if err := s.control.Slow(ctx, previous.Service, 1); err != nil {
			return errors.Wrapf(err, "restore the speed of service %s", previous.Service)
		}
	}
	s.slowed = slowed // set first: a change that fails may have reached some endpoints
	for _, one := range slowed {
		if err := s.control.Slow(ctx, one.Service, one.Factor); err != nil {
			return errors.Wrapf(err, "slow service %s down", one.Service)
		}
	}
	return nil
}

// silence stops responses on the open connections of the named services.
func (s *slowdowns) silence(ctx context.Context, services []string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, service := range services {
		if err := s.control.SilenceConnections(ctx, service); err != nil {
			return errors.Wrapf(err, "silence the connections of service %s", service)
		}
	}
	return nil
}

func containsService(slow []experiment.Slow, service string) bool {
	for _, s := range slow {
		if s.Service == service {
			return true
		}
	}
	return false
}

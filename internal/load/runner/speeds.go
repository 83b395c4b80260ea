package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/experiment"
)

// speedTimeout bounds one change of speed.
const speedTimeout = 5 * time.Second

// speeds remembers which services are slowed down.
type speeds struct {
	slower EndpointControl
	slow   []experiment.Slow
}

// set slows the named services down and gives the others their own speed back.
func (s *speeds) set(ctx context.Context, slow []experiment.Slow) error {
	if s.slower == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, speedTimeout)
	defer cancel()
	for _, old := range s.slow {
		if named(slow, old.Service) {
			continue
		}
		if err := s.slower.Slow(ctx, old.Service, 1); err != nil {
			return errors.Wrapf(err, "give service %s its own speed back", old.Service)
		}
	}
	s.slow = slow // also when a change below fails: it may have been made in part
	for _, one := range slow {
		if err := s.slower.Slow(ctx, one.Service, one.Factor); err != nil {
			return errors.Wrapf(err, "slow service %s down", one.Service)
		}
	}
	return nil
}

// silence makes the connections of the named services go silent.
func (s *speeds) silence(ctx context.Context, services []string) error {
	ctx, cancel := context.WithTimeout(ctx, speedTimeout)
	defer cancel()
	for _, service := range services {
		if err := s.slower.SilenceConnections(ctx, service); err != nil {
			return errors.Wrapf(err, "silence the connections of service %s", service)
		}
	}
	return nil
}

func named(slow []experiment.Slow, service string) bool {
	for _, s := range slow {
		if s.Service == service {
			return true
		}
	}
	return false
}

// Package runner runs an experiment against a deployment and records the outcome
// of each request.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/caller"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/arrival"
	"github.com/galenacart/galenacart/internal/load/calltree"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
)

// EndpointControl changes the speed of a service's endpoints.
type EndpointControl interface {
	// Slow multiplies the service time of all endpoints of a service. A factor
	// of 1 restores their normal speed.
	Slow(ctx context.Context, service string, factor float64) error
	// SilenceConnections makes the endpoints of a service stop responding on
	// all their open connections.
	SilenceConnections(ctx context.Context, service string) error
}

// Config is the configuration of a run.
type Config struct {
	// Experiment is the experiment to run.
	Experiment *experiment.Experiment
	// Catalogue holds the routes.
	Catalogue *catalogue.Catalogue
	// Deployment holds the calls behind each route.
	Deployment *deployment.Deployment
	// Targets holds the addresses that requests go to.
	Targets *Targets
	// EndpointControl changes the speed of endpoints; nil when no phase does.
	EndpointControl EndpointControl
	// Progress is called at the start of each phase. It may be nil.
	Progress func(phase *experiment.Phase)
}

// Runner runs one experiment.
type Runner struct {
	config  Config
	start   time.Time
	routes  map[string]*routeInfo
	clients map[clientKey]*caller.Client
	records outcome.Collector
}

// routeInfo holds the data common to the requests of one route.
type routeInfo struct {
	route *catalogue.Route
	tree  *calltree.Tree
}

type clientKey struct {
	retryPolicy experiment.RetryPolicy
	service     string
}

// New checks a configuration and returns a runner.
func New(config Config) (*Runner, error) {
	r := &Runner{config: config, routes: map[string]*routeInfo{}, clients: map[clientKey]*caller.Client{}}
	for p := range config.Experiment.Phases {
		phase := &config.Experiment.Phases[p]
		if len(phase.Slow)+len(phase.SilencedServices) > 0 && config.EndpointControl == nil {
			return nil, errors.Errorf("phase %q changes endpoints, but the targets name no endpoint admin addresses", phase.Name)
		}
		for _, rate := range phase.Rates {
			if err := r.prepareRoute(p, rate.Route); err != nil {
				return nil, err
			}
		}
	}
	return r, nil
}

// prepareRoute builds the client and the expected call tree of a route in a phase.
func (r *Runner) prepareRoute(phase int, route string) error {
	tree, err := calltree.NewTree(r.config.Catalogue, r.config.Deployment, route)
	if err != nil {
		return err
	}
	r.routes[route] = &routeInfo{route: tree.Route, tree: tree}
	key := clientKey{retryPolicy: r.config.Experiment.RetryPolicyOf(phase), service: tree.Route.Service}
	if r.clients[key] != nil {
		return nil
	}
	client, err := newClient(key.retryPolicy, r.config.Targets.Addresses(key.service))
	if err != nil {
		return errors.Wrapf(err, "service %s", key.service)
	}
	r.clients[key] = client
	return nil
}

func newClient(policy experiment.RetryPolicy, addresses []string) (*caller.Client, error) {
	options := []caller.Option{
		caller.WithMaxAttempts(policy.MaxSends),
		caller.WithAttemptTimeout(policy.SendTimeout()),
	}
	if !policy.HonourRetryAfter {
		options = append(options, caller.WithBackoff(caller.ConstantBackoff(policy.Pause())))
	}
	return caller.New(addresses, options...)
}

// Run runs the experiment and waits until every request has completed, at the
// latest at its timeout. It returns the outcomes also when ctx ends first.
func (r *Runner) Run(ctx context.Context) ([]outcome.Outcome, error) {
	arrivals, err := arrival.Schedule(r.config.Experiment)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.start = time.Now()
	phaseErr := make(chan error, 1)
	go func() { phaseErr <- r.runPhases(ctx) }()
	var requests sync.WaitGroup
	number := 0
	dispatchErr := arrival.Dispatch(ctx, r.start, arrivals, func(a arrival.Arrival) {
		number++
		n := number
		requests.Go(func() { r.request(ctx, n, a) })
	})
	requests.Wait()
	if err := <-phaseErr; err != nil {
		return r.records.All(), err
	}
	return r.records.All(), dispatchErr
}

// runPhases slows endpoints down as each phase requires, and restores their
// normal speed at the end, also when the run stops early.
func (r *Runner) runPhases(ctx context.Context) error {
	s := &slowdowns{control: r.config.EndpointControl}
	err := r.playPhases(ctx, s)
	if restoreErr := s.apply(context.WithoutCancel(ctx), nil); err == nil {
		err = restoreErr
	}
	return err
}

func (r *Runner) playPhases(ctx context.Context, s *slowdowns) error {
	var elapsed time.Duration
	for p := range r.config.Experiment.Phases {
		phase := &r.config.Experiment.Phases[p]
		if !waitUntil(ctx, r.start.Add(elapsed)) {
			return nil // Run returns the error of ctx
		}
		if r.config.Progress != nil {
			r.config.Progress(phase)
		}
		if err := s.apply(ctx, phase.Slow); err != nil {
			return err
		}
		if err := s.silence(ctx, phase.SilencedServices); err != nil {
			return err
		}
		elapsed += phase.Duration()
	}
	waitUntil(ctx, r.start.Add(elapsed))
	return nil
}

func (r *Runner) close() {
	for _, c := range r.clients {
		c.Close()
	}
}

// waitUntil waits until moment and reports false if ctx ends first.
func waitUntil(ctx context.Context, moment time.Time) bool {
	t := time.NewTimer(time.Until(moment))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

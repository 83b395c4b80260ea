// Package runner plays an experiment against a deployment and records what
// became of each request.
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
	// of 1 is their own speed.
	Slow(ctx context.Context, service string, factor float64) error
	// SilenceConnections makes all open connections of a service's endpoints go silent.
	SilenceConnections(ctx context.Context, service string) error
}

// Config says what to run and where.
type Config struct {
	// Experiment is what to play.
	Experiment *experiment.Experiment
	// Catalogue holds the routes.
	Catalogue *catalogue.Catalogue
	// Deployment holds the calls behind each route.
	Deployment *deployment.Deployment
	// Targets says where requests go.
	Targets *Targets
	// EndpointControl changes the speed of endpoints; nil when no phase does.
	EndpointControl EndpointControl
	// Progress is told when a phase begins. It may be nil.
	Progress func(phase *experiment.Phase)
}

// Runner plays one experiment.
type Runner struct {
	config  Config
	start   time.Time
	kinds   map[string]*kind
	clients map[clientKey]*caller.Client
	records outcome.Collector
}

// kind is what is common to the requests of one route.
type kind struct {
	route *catalogue.Route
	tree  *calltree.Tree
}

type clientKey struct {
	resends experiment.RetryPolicy
	service string
}

// New checks a configuration and returns a runner.
func New(config Config) (*Runner, error) {
	r := &Runner{config: config, kinds: map[string]*kind{}, clients: map[clientKey]*caller.Client{}}
	for p := range config.Experiment.Phases {
		phase := &config.Experiment.Phases[p]
		if len(phase.Slow)+len(phase.SilencedServices) > 0 && config.EndpointControl == nil {
			return nil, errors.Errorf("phase %q changes endpoints, but the targets name no endpoint admin addresses", phase.Name)
		}
		for _, rate := range phase.Rates {
			if err := r.prepare(p, rate.Route); err != nil {
				return nil, err
			}
		}
	}
	return r, nil
}

// prepare builds the client and the expected answer of a route in a phase.
func (r *Runner) prepare(phase int, route string) error {
	tree, err := calltree.NewTree(r.config.Catalogue, r.config.Deployment, route)
	if err != nil {
		return err
	}
	r.kinds[route] = &kind{route: tree.Route, tree: tree}
	key := clientKey{resends: r.config.Experiment.RetryPolicyOf(phase), service: tree.Route.Service}
	if r.clients[key] != nil {
		return nil
	}
	client, err := newClient(key.resends, r.config.Targets.Addresses(key.service))
	if err != nil {
		return errors.Wrapf(err, "service %s", key.service)
	}
	r.clients[key] = client
	return nil
}

func newClient(r experiment.RetryPolicy, addresses []string) (*caller.Client, error) {
	options := []caller.Option{
		caller.WithMaxAttempts(r.MaxSends),
		caller.WithAttemptTimeout(r.SendTimeout()),
	}
	if !r.HonourRetryAfter {
		options = append(options, caller.WithBackoff(caller.ConstantBackoff(r.Pause())))
	}
	return caller.New(addresses, options...)
}

// Run plays the experiment and waits until every request has ended, which each
// does at its time limit at the latest. It returns the outcomes also when ctx
// ends first.
func (r *Runner) Run(ctx context.Context) ([]outcome.Outcome, error) {
	arrivals, err := arrival.Schedule(r.config.Experiment)
	if err != nil {
		return nil, err
	}
	defer r.close()
	r.start = time.Now()
	phases := make(chan error, 1)
	go func() { phases <- r.runPhases(ctx) }()
	var requests sync.WaitGroup
	number := 0
	playErr := arrival.Dispatch(ctx, r.start, arrivals, func(a arrival.Arrival) {
		number++
		n := number
		requests.Go(func() { r.request(ctx, n, a) })
	})
	requests.Wait()
	if err := <-phases; err != nil {
		return r.records.All(), err
	}
	return r.records.All(), playErr
}

// runPhases sets the speeds of endpoints at the start of each phase, and their
// own speed at the end, also of a run that stops early.
func (r *Runner) runPhases(ctx context.Context) error {
	s := &speeds{slower: r.config.EndpointControl}
	err := r.playPhases(ctx, s)
	if restoreErr := s.set(context.WithoutCancel(ctx), nil); err == nil {
		err = restoreErr
	}
	return err
}

func (r *Runner) playPhases(ctx context.Context, s *speeds) error {
	var at time.Duration
	for p := range r.config.Experiment.Phases {
		phase := &r.config.Experiment.Phases[p]
		if !waitUntil(ctx, r.start.Add(at)) {
			return nil // Run tells that the run stopped early
		}
		if r.config.Progress != nil {
			r.config.Progress(phase)
		}
		if err := s.set(ctx, phase.Slow); err != nil {
			return err
		}
		if err := s.silence(ctx, phase.SilencedServices); err != nil {
			return err
		}
		at += phase.Duration()
	}
	waitUntil(ctx, r.start.Add(at))
	return nil
}

func (r *Runner) close() {
	for _, c := range r.clients {
		c.Close()
	}
}

// waitUntil waits and reports whether ctx still runs.
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

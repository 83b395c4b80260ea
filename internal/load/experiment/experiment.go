// Package experiment reads the description of a load tool run: its timed phases,
// the arrival rates and the retry policy of callers.
package experiment

import (
	"fmt"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const (
	maxBytes = 1 << 20
	// MaxDuration limits the total duration of all phases.
	MaxDuration = 30 * time.Minute
)

// Experiment is the whole document.
type Experiment struct {
	// Name is the short name of the experiment.
	Name string `json:"name" validate:"required,max=64"`
	// Seed makes the arrivals repeatable.
	Seed uint64 `json:"seed"`
	// MaxRequests limits the total number of requests of all phases.
	MaxRequests int `json:"maxRequests" validate:"gte=1,lte=10000000"`
	// RetryPolicy is the retry policy of callers unless a phase overrides it.
	RetryPolicy RetryPolicy `json:"resends"`
	// Phases lists the phases in order.
	Phases []Phase `json:"phases" validate:"required,min=1,max=100,dive"`
}

// RetryPolicy is the way in which callers resend requests.
type RetryPolicy struct {
	// MaxSends limits the sends of one request, including the first.
	MaxSends int `json:"maxSends" validate:"gte=1,lte=1000"`
	// PauseMs is the wait between sends, in milliseconds. It is used when
	// Retry-After is not honoured.
	PauseMs int `json:"pauseMs" validate:"gte=0,lte=60000"`
	// SendTimeoutMs is the timeout for one answer, in milliseconds; with 0 only
	// the request's own timeout applies.
	SendTimeoutMs int `json:"sendTimeoutMs" validate:"gte=0,lte=600000"`
	// HonourRetryAfter makes callers wait for the time in Retry-After.
	HonourRetryAfter bool `json:"honourRetryAfter"`
}

// Kind is the purpose of a phase.
type Kind string

// The kinds of phases.
const (
	// Warmup opens connections and fills caches; the report excludes it from totals.
	Warmup Kind = "warmup"
	// Steady sets the level that recovery is compared with.
	Steady Kind = "steady"
	// Overload is a phase with more arrivals or slower endpoints.
	Overload Kind = "overload"
	// Recovery follows the end of an overload.
	Recovery Kind = "recovery"
)

// Phase is one timed part of an experiment.
type Phase struct {
	// Name is the unique name of the phase.
	Name string `json:"name" validate:"required,max=64"`
	// Kind is the purpose of the phase.
	Kind Kind `json:"kind" validate:"required,oneof=warmup steady overload recovery"`
	// DurationMs is the length of the phase, in milliseconds.
	DurationMs int `json:"durationMs" validate:"gte=1,lte=1800000"`
	// Rates lists the arrival rates by route.
	Rates []Rate `json:"rates" validate:"required,min=1,max=100,dive"`
	// RetryPolicy overrides the experiment's retry policy.
	RetryPolicy *RetryPolicy `json:"resends,omitempty"`
	// Slow lists the services whose endpoints are slowed down. The others run
	// at normal speed.
	Slow []Slow `json:"slow,omitempty" validate:"max=100,dive"`
	// SilencedServices lists the services whose endpoints permanently stop
	// responding on all open connections at the start of the phase.
	SilencedServices []string `json:"silence,omitempty" validate:"max=100,dive,required"`
}

// Rate is a Poisson stream of arrivals.
type Rate struct {
	// Route names the route of the catalogue.
	Route string `json:"route" validate:"required"`
	// PerSecond is the mean number of arrivals a second.
	PerSecond float64 `json:"perSecond" validate:"gte=0,lte=1000000"`
}

// Slow multiplies the service time of a service's endpoints.
type Slow struct {
	// Service names the service.
	Service string `json:"service" validate:"required"`
	// Factor multiplies the service time.
	Factor float64 `json:"factor" validate:"gt=0,lte=1000"`
}

// Duration returns the length of the phase.
func (p *Phase) Duration() time.Duration {
	return time.Duration(p.DurationMs) * time.Millisecond
}

// Pause returns the wait between sends.
func (r RetryPolicy) Pause() time.Duration {
	return time.Duration(r.PauseMs) * time.Millisecond
}

// SendTimeout returns the timeout for one answer, or 0.
func (r RetryPolicy) SendTimeout() time.Duration {
	return time.Duration(r.SendTimeoutMs) * time.Millisecond
}

// Duration returns the total duration of all phases.
func (e *Experiment) Duration() time.Duration {
	var total time.Duration
	for i := range e.Phases {
		total += e.Phases[i].Duration()
	}
	return total
}

// RetryPolicyOf returns the retry policy in a phase.
func (e *Experiment) RetryPolicyOf(phase int) RetryPolicy {
	if r := e.Phases[phase].RetryPolicy; r != nil {
		return *r
	}
	return e.RetryPolicy
}

// Decode decodes an experiment and validates it against a catalogue. The error is
// a *strictjson.Faults.
func Decode(file string, data []byte, c *catalogue.Catalogue) (*Experiment, error) {
	return strictjson.DecodeChecked(file, data, func(e *Experiment) []strictjson.Fault { return e.check(c) })
}

// ReadFile reads and validates the experiment in a file.
func ReadFile(file string, c *catalogue.Catalogue) (*Experiment, error) {
	return strictjson.Load(file, maxBytes, func(file string, data []byte) (*Experiment, error) {
		return Decode(file, data, c)
	})
}

func (e *Experiment) check(c *catalogue.Catalogue) []strictjson.Fault {
	faults := strictjson.Validate(e)
	if e.Duration() > MaxDuration {
		faults = append(faults, strictjson.Fault{
			Pointer: "/phases",
			Reason:  fmt.Sprintf("phases last %v, want at most %v", e.Duration(), MaxDuration),
		})
	}
	for i := range e.Phases {
		faults = append(faults, e.Phases[i].check(fmt.Sprintf("/phases/%d", i), c)...)
	}
	return faults
}

func (p *Phase) check(pointer string, c *catalogue.Catalogue) []strictjson.Fault {
	routes := map[string]bool{} // true for routes that callers may use
	for i := range c.Routes {
		routes[c.Routes[i].Name] = !c.Routes[i].Internal
	}
	services := map[string]bool{}
	for i := range c.Services {
		services[c.Services[i].Name] = true
	}
	var faults []strictjson.Fault
	for i, r := range p.Rates {
		if !routes[r.Route] {
			faults = append(faults, strictjson.Fault{
				Pointer: fmt.Sprintf("%s/rates/%d/route", pointer, i),
				Reason:  fmt.Sprintf("no route of callers in the catalogue: %q", r.Route),
			})
		}
	}
	for i, s := range p.Slow {
		faults = appendUnknown(faults, services, s.Service, fmt.Sprintf("%s/slow/%d/service", pointer, i))
	}
	for i, s := range p.SilencedServices {
		faults = appendUnknown(faults, services, s, fmt.Sprintf("%s/silence/%d", pointer, i))
	}
	return faults
}

// appendUnknown adds a fault when the service is not in the catalogue.
func appendUnknown(faults []strictjson.Fault, services map[string]bool, service, pointer string) []strictjson.Fault {
	if services[service] {
		return faults
	}
	return append(faults, strictjson.Fault{Pointer: pointer, Reason: fmt.Sprintf("no such service: %q", service)})
}

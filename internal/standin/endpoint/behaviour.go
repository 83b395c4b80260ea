package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Behaviour is the behaviour that experiments can change at run time.
type Behaviour struct {
	// SlowFactor multiplies the service times of calls that start.
	SlowFactor float64 `json:"slowFactor"`
	// IgnoreCancellation lets calls run on after their caller disconnected or their
	// deadline passed.
	IgnoreCancellation bool `json:"ignoreCancellation"`

	HealthReporting
}

// BehaviourChange is the request body of a change of behaviour. Absent fields
// remain unchanged.
type BehaviourChange struct {
	// SlowFactor multiplies the service times of calls that start.
	SlowFactor *float64 `json:"slowFactor,omitempty"`
	// IgnoreCancellation lets calls run on after their caller disconnected or their
	// deadline passed.
	IgnoreCancellation *bool `json:"ignoreCancellation,omitempty"`
	// ReportLagMs is the age of the reported state, in milliseconds.
	ReportLagMs *int `json:"reportLagMs,omitempty"`
	// ForceHealthy reports an idle, healthy endpoint regardless of its state.
	ForceHealthy *bool `json:"lieHealthy,omitempty"`
	// ForceDead reports a dead endpoint regardless of its state.
	ForceDead *bool `json:"lieDead,omitempty"`
}

// apply returns b with the changes of c applied.
func (b Behaviour) apply(c BehaviourChange) Behaviour {
	setIfPresent(&b.SlowFactor, c.SlowFactor)
	setIfPresent(&b.IgnoreCancellation, c.IgnoreCancellation)
	setIfPresent(&b.LagMs, c.ReportLagMs)
	setIfPresent(&b.ForceHealthy, c.ForceHealthy)
	setIfPresent(&b.ForceDead, c.ForceDead)
	return b
}

// setIfPresent sets a field to *value unless value is nil.
func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// sampler draws random service times. It is safe for concurrent use.
type sampler struct {
	mu        sync.Mutex
	rand      *rand.Rand
	start     time.Time
	coldStart ColdStart
}

func newSampler(seed uint64, coldStart ColdStart, start time.Time) *sampler {
	return &sampler{rand: rand.New(rand.NewPCG(seed, seed)), start: start, coldStart: coldStart}
}

// serviceTime draws the service time of a call that starts now.
func (s *sampler) serviceTime(t ServiceTime, slowFactor float64, now time.Time) time.Duration {
	ms := s.draw(t) * slowFactor
	if now.Sub(s.start).Seconds() < s.coldStart.Seconds {
		ms *= s.coldStart.Factor
	}
	return milliseconds(ms)
}

// draw draws a service time in milliseconds.
func (s *sampler) draw(t ServiceTime) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch t.Distribution {
	case Exponential:
		return t.MeanMs * s.rand.ExpFloat64()
	case Lognormal:
		// The mean of exp(N(mu, sigma)) is exp(mu + sigma²/2).
		shift := t.Sigma * t.Sigma / 2
		return t.MeanMs * math.Exp(t.Sigma*s.rand.NormFloat64()-shift)
	default:
		return t.MeanMs
	}
}

// intN draws a uniformly distributed number from 0 to n-1.
func (s *sampler) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

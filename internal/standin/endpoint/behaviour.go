package endpoint

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Behaviour is what an experiment may change while the endpoint runs.
type Behaviour struct {
	// SlowFactor multiplies the service times of work that starts.
	SlowFactor float64 `json:"slowFactor"`
	// IgnoreCancellation keeps work running after its caller went away.
	IgnoreCancellation bool `json:"ignoreCancellation"`

	HealthReporting
}

// BehaviourChange changes the fields that are present.
type BehaviourChange struct {
	// SlowFactor multiplies the service times of work that starts.
	SlowFactor *float64 `json:"slowFactor,omitempty"`
	// IgnoreCancellation keeps work running after its caller went away.
	IgnoreCancellation *bool `json:"ignoreCancellation,omitempty"`
	// ReportLagMs is the age of what is reported, in milliseconds.
	ReportLagMs *int `json:"reportLagMs,omitempty"`
	// ForceHealthy reports an idle, healthy endpoint whatever is true.
	ForceHealthy *bool `json:"lieHealthy,omitempty"`
	// ForceDead reports a dead endpoint whatever is true.
	ForceDead *bool `json:"lieDead,omitempty"`
}

// apply returns b with the changes of c.
func (b Behaviour) apply(c BehaviourChange) Behaviour {
	change(&b.SlowFactor, c.SlowFactor)
	change(&b.IgnoreCancellation, c.IgnoreCancellation)
	change(&b.LagMs, c.ReportLagMs)
	change(&b.ForceHealthy, c.ForceHealthy)
	change(&b.ForceDead, c.ForceDead)
	return b
}

func change[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// sampler draws service times.
type sampler struct {
	mu    sync.Mutex
	rand  *rand.Rand
	start time.Time
	cold  ColdStart
}

func newSampler(seed uint64, cold ColdStart, start time.Time) *sampler {
	return &sampler{rand: rand.New(rand.NewPCG(seed, seed)), start: start, cold: cold}
}

// serviceTime draws the time of one call's own work, starting now.
func (s *sampler) serviceTime(t ServiceTime, slowFactor float64, now time.Time) time.Duration {
	ms := s.draw(t) * slowFactor
	if now.Sub(s.start).Seconds() < s.cold.Seconds {
		ms *= s.cold.Factor
	}
	return milliseconds(ms)
}

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

// intN draws a number from 0 to n-1.
func (s *sampler) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

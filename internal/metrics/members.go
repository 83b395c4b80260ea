package metrics

import (
	"maps"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Outcome is how a request or a call ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed means that the endpoint answered with anything but a failure.
	OutcomeServed Outcome = iota
	// OutcomeFailed means that the endpoint answered with a failure.
	OutcomeFailed
	// OutcomeRefused means that it was not run and never will be.
	OutcomeRefused
	// OutcomeUnknown means that it may have run and has no answer.
	OutcomeUnknown

	outcomeCount
)

var outcomeNames = [outcomeCount]string{OutcomeServed: "served", OutcomeFailed: "failed", OutcomeRefused: "refused", OutcomeUnknown: "unknown"}

const (
	// membersMax bounds the routes, and the endpoints, that are counted apart; a
	// configuration may hold thousands.
	membersMax = 64
	// memberOther stands for those beyond.
	memberOther = "other"
	// memberSampleSize is the number of values that the times of one member keep.
	memberSampleSize = 256
)

// member holds the instruments of one route or endpoint.
type member struct {
	names    []string // in the registry
	outcomes [outcomeCount]gometrics.Counter
	times    gometrics.Histogram
}

// family holds instruments of members that come and go.
type family struct {
	registry gometrics.Registry
	counter  string
	seconds  string
	key      string // of the label

	mu      sync.RWMutex
	members map[string]*member
}

func newFamily(r gometrics.Registry, counter, seconds, key string) *family {
	return &family{registry: r, counter: counter, seconds: seconds, key: key, members: make(map[string]*member)}
}

// count counts one outcome of a member and the time that it took.
func (f *family) count(name string, o Outcome, took time.Duration) {
	m := f.member(name)
	m.outcomes[o].Inc(1)
	m.times.Update(took.Nanoseconds())
}

func (f *family) member(name string) *member {
	f.mu.RLock()
	m := f.members[name]
	f.mu.RUnlock()
	if m != nil {
		return m
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.members) >= membersMax {
		name = memberOther
	}
	if m = f.members[name]; m == nil {
		m = f.register(name)
		f.members[name] = m
	}
	return m
}

func (f *family) register(name string) *member {
	m := &member{}
	for o, outcome := range outcomeNames {
		full := LabelledName(f.counter, f.key, name)
		full = full[:len(full)-1] + "," + LabelledName("", "outcome", outcome)[1:]
		m.outcomes[o] = gometrics.GetOrRegisterCounter(full, f.registry)
		m.names = append(m.names, full)
	}
	full := LabelledName(f.seconds, f.key, name)
	sample := gometrics.NewExpDecaySample(memberSampleSize, sampleAlpha)
	m.times = gometrics.GetOrRegisterHistogram(full, f.registry, sample)
	m.names = append(m.names, full)
	return m
}

// retain drops the members that are not known any more.
func (f *family) retain(known map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.members, func(name string, m *member) bool {
		if known[name] || name == memberOther {
			return false
		}
		for _, full := range m.names {
			f.registry.Unregister(full)
		}
		return true
	})
}

// RecordRequest counts a request of a client, or a call of the local endpoint, by its
// route.
func (s *Set) RecordRequest(route string, o Outcome, took time.Duration) {
	s.routes.count(route, o, took)
}

// RecordAttempt counts a call that was sent to an endpoint, through its node.
func (s *Set) RecordAttempt(endpoint string, o Outcome, took time.Duration) {
	s.endpoints.count(endpoint, o, took)
}

// Retain drops the instruments of routes and endpoints that are gone.
func (s *Set) Retain(routes, endpoints map[string]bool) {
	s.routes.retain(routes)
	s.endpoints.retain(endpoints)
}

package metrics

import (
	"maps"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Outcome is the outcome of a request or a call.
type Outcome uint8

// Outcomes of requests and calls.
const (
	// OutcomeServed means that the endpoint answered, and not with a failure.
	OutcomeServed Outcome = iota
	// OutcomeFailed means that the endpoint answered with a failure.
	OutcomeFailed
	// OutcomeRefused means that no endpoint ran it or will run it.
	OutcomeRefused
	// OutcomeUnknown means that an endpoint may have run it, but no answer arrived.
	OutcomeUnknown

	outcomeCount
)

var outcomeNames = [outcomeCount]string{OutcomeServed: "served", OutcomeFailed: "failed", OutcomeRefused: "refused", OutcomeUnknown: "unknown"}

const (
	// familyMembersMax bounds the routes, and the endpoints, that have their own metrics; a
	// configuration may hold thousands.
	familyMembersMax = 64
	// memberOther is the label of all further ones.
	memberOther = "other"
	// memberSampleSize is the number of values in the duration sample of one member.
	memberSampleSize = 256
)

// member holds the metrics of one route or endpoint.
type member struct {
	registryNames []string // for Unregister
	outcomes      [outcomeCount]gometrics.Counter
	times         gometrics.Histogram
}

// labelledFamily holds the metrics of a set of routes or endpoints that changes at run time.
type labelledFamily struct {
	registry    gometrics.Registry
	counterName string
	secondsName string
	labelKey    string

	mu      sync.RWMutex
	members map[string]*member
}

func newFamily(r gometrics.Registry, counterName, secondsName, labelKey string) *labelledFamily {
	return &labelledFamily{registry: r, counterName: counterName, secondsName: secondsName, labelKey: labelKey, members: make(map[string]*member)}
}

// record records one outcome of a member and its duration.
func (f *labelledFamily) record(name string, o Outcome, took time.Duration) {
	m := f.member(name)
	m.outcomes[o].Inc(1)
	m.times.Update(took.Nanoseconds())
}

// member returns the metrics of a member and creates them if necessary. Beyond
// familyMembersMax it returns those of memberOther.
func (f *labelledFamily) member(name string) *member {
	f.mu.RLock()
	m := f.members[name]
	f.mu.RUnlock()
	if m != nil {
		return m
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.members) >= familyMembersMax {
		name = memberOther
	}
	if m = f.members[name]; m == nil {
		m = f.register(name)
		f.members[name] = m
	}
	return m
}

// register registers the metrics of a new member.
func (f *labelledFamily) register(name string) *member {
	m := &member{}
	for o, outcome := range outcomeNames {
		registryName := LabelledName(f.counterName, f.labelKey, name)
		registryName = registryName[:len(registryName)-1] + "," + LabelledName("", "outcome", outcome)[1:]
		m.outcomes[o] = gometrics.GetOrRegisterCounter(registryName, f.registry)
		m.registryNames = append(m.registryNames, registryName)
	}
	registryName := LabelledName(f.secondsName, f.labelKey, name)
	sample := gometrics.NewExpDecaySample(memberSampleSize, sampleAlpha)
	m.times = gometrics.GetOrRegisterHistogram(registryName, f.registry, sample)
	m.registryNames = append(m.registryNames, registryName)
	return m
}

// retain removes the members that are not in known.
func (f *labelledFamily) retain(known map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.members, func(name string, m *member) bool {
		if known[name] || name == memberOther {
			return false
		}
		for _, registryName := range m.registryNames {
			f.registry.Unregister(registryName)
		}
		return true
	})
}

// RecordRequest counts a request of a client, or a call of the local endpoint, by its
// route.
func (s *Set) RecordRequest(route string, o Outcome, took time.Duration) {
	s.routes.record(route, o, took)
}

// RecordAttempt counts a call that was sent to an endpoint through its node.
func (s *Set) RecordAttempt(endpoint string, o Outcome, took time.Duration) {
	s.endpoints.record(endpoint, o, took)
}

// Retain removes the metrics of routes and endpoints that are not listed.
func (s *Set) Retain(routes, endpoints map[string]bool) {
	s.routes.retain(routes)
	s.endpoints.retain(endpoints)
}

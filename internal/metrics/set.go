package metrics

import (
	"runtime"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenacart/galenacart/internal/problem"
)

// Role is the kind of listener that received a call.
type Role uint8

// Roles of calls.
const (
	// RoleCaller is a call from outside the fleet.
	RoleCaller Role = iota
	// RoleOutbound is a call of the local endpoint.
	RoleOutbound
	// RolePeer is a call from another node, for the local endpoint.
	RolePeer

	roleCount
)

var roleNames = [roleCount]string{RoleCaller: "caller", RoleOutbound: "outbound", RolePeer: "peer"}

// A histogram keeps at most sampleSize values. sampleAlpha weights it to about the
// last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Set holds the metrics of one node. Its methods are safe for concurrent use and
// allocate nothing, except to record a new route or endpoint.
type Set struct {
	registry  gometrics.Registry
	calls     [roleCount]gometrics.Counter
	times     [roleCount]gometrics.Histogram
	refusals  map[problem.Kind]gometrics.Counter
	retries   gometrics.Counter
	oversized gometrics.Counter

	routes    *labelledFamily
	endpoints *labelledFamily
}

// NewSet returns the metrics of a node, including gauges of the process, in a new
// registry.
func NewSet() *Set {
	s := &Set{
		registry: gometrics.NewRegistry(),
		refusals: make(map[problem.Kind]gometrics.Counter),
	}
	for role, name := range roleNames {
		s.calls[role] = gometrics.GetOrRegisterCounter(LabelledName(NameCalls, "role", name), s.registry)
		sample := gometrics.NewExpDecaySample(sampleSize, sampleAlpha)
		s.times[role] = gometrics.GetOrRegisterHistogram(LabelledName(NameCallSeconds, "role", name), s.registry, sample)
	}
	for _, kind := range problem.Kinds() {
		s.refusals[kind] = gometrics.GetOrRegisterCounter(LabelledName(NameRefusals, "kind", kind.String()), s.registry)
	}
	s.retries = gometrics.GetOrRegisterCounter(NameRetries, s.registry)
	s.oversized = gometrics.GetOrRegisterCounter(NameOversizedAnswers, s.registry)
	s.routes = newFamily(s.registry, NameRequests, NameRequestSeconds, "route")
	s.endpoints = newFamily(s.registry, NameAttempts, NameAttemptSeconds, "endpoint")
	s.RegisterGauge(NameGoroutines, func() int64 { return int64(runtime.NumGoroutine()) })
	s.RegisterGauge(NameHeapBytes, heapBytes)
	return s
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Registry returns the registry that holds the metrics.
func (s *Set) Registry() gometrics.Registry {
	return s.registry
}

// RecordCall counts one answered call and records its duration.
func (s *Set) RecordCall(r Role, took time.Duration) {
	s.calls[r].Inc(1)
	s.times[r].Update(took.Nanoseconds())
}

// RecordRefusal counts one answer that the node gave instead of the endpoint.
func (s *Set) RecordRefusal(k problem.Kind) {
	if c, ok := s.refusals[k]; ok {
		c.Inc(1)
	}
}

// RecordRetry counts one attempt beyond the first one of a call.
func (s *Set) RecordRetry() {
	s.retries.Inc(1)
}

// RecordOversizedAnswer counts one answer that had more bytes than allowed.
func (s *Set) RecordOversizedAnswer() {
	s.oversized.Inc(1)
}

// RegisterGauge registers a gauge whose value is read when the metrics are written. A
// second gauge of the same name is ignored.
func (s *Set) RegisterGauge(name string, read func() int64) {
	s.registry.GetOrRegister(name, gometrics.NewFunctionalGauge(read))
}

// Package endpoint is a stand-in for a back end. It has execution slots, a queue
// and limits, simulates service times, calls other services, drains, and simulates
// the failures of back ends.
package endpoint

import (
	"time"
)

// Settings is the settings document of a stand-in endpoint.
type Settings struct {
	// VM is the unique name of the VM.
	VM string `json:"vm" validate:"required,max=128"`
	// Service is the name of the service that the endpoint provides.
	Service string `json:"service" validate:"required,max=64"`
	// EndpointAddress is the IP address and port of the endpoint.
	EndpointAddress string `json:"endpointAddress" validate:"required"`
	// AdminAddress is the IP address and port of the admin listener.
	AdminAddress string `json:"adminAddress" validate:"required"`
	// TruthFile is the file to which the log of calls is appended. Empty: no log.
	TruthFile string `json:"truthFile,omitempty"`
	// Seed is the seed of the service times. Default 1.
	Seed uint64 `json:"seed,omitempty"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`

	// Slots is the maximum number of concurrent calls.
	Slots int `json:"slots" validate:"gte=1,lte=10000"`
	// QueueMax is the maximum number of calls that wait for a slot. Default 0.
	QueueMax int `json:"queueMax,omitempty" validate:"gte=0,lte=100000"`
	// RetryAfterSeconds is the Retry-After header of a refused call, in seconds.
	// Default 1.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty" validate:"gte=0,lte=3600"`
	// Connections is the maximum number of open connections; further ones are
	// closed on accept. Default 400.
	Connections int `json:"connections,omitempty" validate:"gte=0,lte=100000"`
	// ConnectionCostMs is the delay of the first request on a connection, in
	// milliseconds. Default 0.
	ConnectionCostMs float64 `json:"connectionCostMs,omitempty" validate:"gte=0,lte=60000"`
	// ProbeCostMs is the delay of the response to a health probe, in milliseconds.
	// Default 0.
	ProbeCostMs float64 `json:"probeCostMs,omitempty" validate:"gte=0,lte=60000"`
	// IgnoreCancellation lets calls run on after their caller disconnected or their
	// deadline passed. Default false.
	IgnoreCancellation bool `json:"ignoreCancellation,omitempty"`
	// DrainLingerMs is the minimum time between the start of draining and the end
	// of the process, in milliseconds. Default 0.
	DrainLingerMs int `json:"drainLingerMs,omitempty" validate:"gte=0,lte=600000"`

	// Routes lists the routes of the endpoint. The longest matching path is
	// selected.
	Routes []Route `json:"routes" validate:"required,min=1,max=1000,dive"`
	// ColdStart slows down calls after the start.
	ColdStart ColdStart `json:"coldStart,omitzero"`
	// HealthReporting is the initial setting for inaccurate health and load reports.
	HealthReporting HealthReporting `json:"report,omitzero"`
	// Crash selects the calls that crash the process.
	Crash Crash `json:"crash,omitzero"`
	// Downstream configures child calls. Required if a route has any.
	Downstream Downstream `json:"downstream,omitzero"`
}

// Route configures the responses to calls of one method and path prefix.
type Route struct {
	// Method is the HTTP method; empty matches every method.
	Method string `json:"method,omitempty" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the prefix of the URL path.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// ServiceTime is the distribution of the endpoint's own service time.
	ServiceTime ServiceTime `json:"serviceTime"`
	// AnswerBytes is the number of padding bytes in the response. Default 0.
	AnswerBytes int `json:"answerBytes,omitempty" validate:"gte=0,lte=16777216"`
	// Parallel makes all child calls concurrently instead of sequentially.
	Parallel bool `json:"parallel,omitempty"`
	// Children lists the child calls, made after the endpoint's own service time.
	Children []Child `json:"children,omitempty" validate:"max=100,dive"`
}

// Distribution is the type of a distribution of service times.
type Distribution string

// Values of Distribution.
const (
	// Constant always yields the mean.
	Constant Distribution = "constant"
	// Exponential is the exponential distribution.
	Exponential Distribution = "exponential"
	// Lognormal is the log-normal distribution.
	Lognormal Distribution = "lognormal"
)

// ServiceTime is a distribution of service times, without the time of child calls.
type ServiceTime struct {
	// Distribution is constant, exponential or lognormal. Default constant.
	Distribution Distribution `json:"distribution,omitempty"`
	// MeanMs is the mean, in milliseconds.
	MeanMs float64 `json:"meanMs" validate:"gte=0,lte=600000"`
	// Sigma is the standard deviation of the logarithm, for lognormal only.
	// Default 0.5.
	Sigma float64 `json:"sigma,omitempty" validate:"gte=0,lte=5"`
}

// Child configures a child call.
type Child struct {
	// Service is the name of the called service. It is used in the mode direct only.
	Service string `json:"service" validate:"required,max=64"`
	// Method is the HTTP method.
	Method string `json:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	// Path is the URL path.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// Repeat is the number of calls. Default 1.
	Repeat int `json:"repeat,omitempty" validate:"gte=0,lte=100"`
}

// ColdStart slows down calls after the start of the process.
type ColdStart struct {
	// Factor multiplies service times. Default 1.
	Factor float64 `json:"factor,omitempty" validate:"omitempty,gte=1,lte=1000"`
	// Seconds is the duration of the slow phase, in seconds.
	Seconds float64 `json:"seconds,omitempty" validate:"gte=0,lte=3600"`
}

// HealthReporting configures inaccurate health and load reports.
type HealthReporting struct {
	// LagMs is the age of the reported state, in milliseconds. Default 0.
	LagMs int `json:"reportLagMs,omitempty" validate:"gte=0,lte=600000"`
	// ForceHealthy reports an idle, healthy endpoint regardless of its state.
	ForceHealthy bool `json:"lieHealthy,omitempty"`
	// ForceDead reports a dead endpoint regardless of its state.
	ForceDead bool `json:"lieDead,omitempty"`
}

// Crash selects calls that crash the process, in addition to calls with the X-Crash
// header.
type Crash struct {
	// PathContains is a substring of the path and query. Empty: none.
	PathContains string `json:"pathContains,omitempty" validate:"max=256"`
	// BodyContains is a substring of the body. Empty: none.
	BodyContains string `json:"bodyContains,omitempty" validate:"max=256"`
}

// RoutingMode determines where child calls are sent.
type RoutingMode string

// Values of RoutingMode.
const (
	// RoutingModeNode sends child calls to the local node.
	RoutingModeNode RoutingMode = "node"
	// RoutingModeDirect sends child calls directly to endpoints, bypassing
	// galenacart.
	RoutingModeDirect RoutingMode = "direct"
)

// Downstream configures child calls.
type Downstream struct {
	// RoutingMode is node or direct.
	RoutingMode RoutingMode `json:"way,omitempty"`
	// OutboundAddress is the local node's address for child calls, in the mode node.
	OutboundAddress string `json:"outboundAddress,omitempty"`
	// Endpoints lists the endpoints of each service, in the mode direct.
	Endpoints []ServiceEndpoints `json:"endpoints,omitempty" validate:"max=500,dive"`
	// Tries is the maximum number of attempts of a child call. Default 1 for node
	// and 3 for direct.
	Tries int `json:"tries,omitempty" validate:"gte=0,lte=100"`
	// TryTimeoutMs is the timeout of one attempt, in milliseconds. Default 0 (no
	// timeout) for node and 1000 for direct.
	TryTimeoutMs int `json:"tryTimeoutMs,omitempty" validate:"gte=0,lte=600000"`
}

// ServiceEndpoints lists the endpoints of one service.
type ServiceEndpoints struct {
	// Service is the name of the service.
	Service string `json:"service" validate:"required,max=64"`
	// Addresses are IP addresses and ports.
	Addresses []string `json:"addresses" validate:"required,min=1,max=1000"`
}

// DrainLinger returns the minimum time between the start of draining and the end of
// the process.
func (s *Settings) DrainLinger() time.Duration {
	return time.Duration(s.DrainLingerMs) * time.Millisecond
}

// TryTimeout returns the timeout of one attempt of a child call; 0 means none.
func (d *Downstream) TryTimeout() time.Duration {
	return time.Duration(d.TryTimeoutMs) * time.Millisecond
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

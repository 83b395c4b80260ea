// Package endpoint is a small stand-in for a back end: it has slots, a queue
// and limits, takes time for its work, calls other services, drains, and fails
// in the ways that back ends fail.
package endpoint

import (
	"time"
)

// Settings is the settings document of one stand-in endpoint.
type Settings struct {
	// VM is the unique name of the VM.
	VM string `json:"vm" validate:"required,max=128"`
	// Service is the service that the endpoint gives.
	Service string `json:"service" validate:"required,max=64"`
	// EndpointAddress is the IP address and port of the endpoint.
	EndpointAddress string `json:"endpointAddress" validate:"required"`
	// AdminAddress is the IP address and port of the admin listener.
	AdminAddress string `json:"adminAddress" validate:"required"`
	// TruthFile is the file to which the exact log is appended. Empty: no log.
	TruthFile string `json:"truthFile,omitempty"`
	// Seed makes service times repeatable. Default 1.
	Seed uint64 `json:"seed,omitempty"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`

	// Slots is the number of calls that run at once.
	Slots int `json:"slots" validate:"gte=1,lte=10000"`
	// QueueMax is the number of calls that may wait for a slot. Default 0.
	QueueMax int `json:"queueMax,omitempty" validate:"gte=0,lte=100000"`
	// RetryAfterSeconds is the Retry-After header of a shed call. Default 1.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty" validate:"gte=0,lte=3600"`
	// Connections is the limit of open connections; further ones are closed at
	// accept. Default 400.
	Connections int `json:"connections,omitempty" validate:"gte=0,lte=100000"`
	// ConnectionCostMs is the delay of the first request on a connection, in
	// milliseconds. Default 0.
	ConnectionCostMs float64 `json:"connectionCostMs,omitempty" validate:"gte=0,lte=60000"`
	// ProbeCostMs is the delay of an answer to a health probe, in milliseconds.
	// Default 0.
	ProbeCostMs float64 `json:"probeCostMs,omitempty" validate:"gte=0,lte=60000"`
	// IgnoreCancellation keeps work running after its caller went away or its
	// time passed. Default false.
	IgnoreCancellation bool `json:"ignoreCancellation,omitempty"`
	// DrainLingerMs is the least time between the start of draining and the end
	// of the process, in milliseconds. Default 0.
	DrainLingerMs int `json:"drainLingerMs,omitempty" validate:"gte=0,lte=600000"`

	// Routes lists what the endpoint answers. The longest matching path wins.
	Routes []Route `json:"routes" validate:"required,min=1,max=1000,dive"`
	// ColdStart makes work slower after the start.
	ColdStart ColdStart `json:"coldStart,omitzero"`
	// HealthReporting sets how health and load reports mislead at the start.
	HealthReporting HealthReporting `json:"report,omitzero"`
	// Crash names the requests that end the process.
	Crash Crash `json:"crash,omitzero"`
	// Downstream says how child calls are made. Required when a route has any.
	Downstream Downstream `json:"downstream,omitzero"`
}

// Route is one kind of call that the endpoint answers.
type Route struct {
	// Method is the HTTP method; empty stands for every method.
	Method string `json:"method,omitempty" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is the prefix of the URL path.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// ServiceTime is the time for the endpoint's own work.
	ServiceTime ServiceTime `json:"serviceTime"`
	// AnswerBytes pads the answer by a number of bytes. Default 0.
	AnswerBytes int `json:"answerBytes,omitempty" validate:"gte=0,lte=16777216"`
	// Parallel makes all child calls at once in place of one after the other.
	Parallel bool `json:"parallel,omitempty"`
	// Children lists the child calls, which follow the endpoint's own work.
	Children []Child `json:"children,omitempty" validate:"max=100,dive"`
}

// Distribution names a distribution of service times.
type Distribution string

// The distributions.
const (
	// Constant gives the mean every time.
	Constant Distribution = "constant"
	// Exponential gives the exponential distribution.
	Exponential Distribution = "exponential"
	// Lognormal gives the log-normal distribution.
	Lognormal Distribution = "lognormal"
)

// ServiceTime is the distribution of the time that the own work takes.
type ServiceTime struct {
	// Distribution is constant, exponential or lognormal. Default constant.
	Distribution Distribution `json:"distribution,omitempty"`
	// MeanMs is the mean, in milliseconds.
	MeanMs float64 `json:"meanMs" validate:"gte=0,lte=600000"`
	// Sigma is the standard deviation of the logarithm, for lognormal only.
	// Default 0.5.
	Sigma float64 `json:"sigma,omitempty" validate:"gte=0,lte=5"`
}

// Child is one child call.
type Child struct {
	// Service is the service called. It is read in the mode direct only.
	Service string `json:"service" validate:"required,max=64"`
	// Method is the HTTP method.
	Method string `json:"method" validate:"required,oneof=GET POST PUT PATCH DELETE"`
	// Path is the URL path.
	Path string `json:"path" validate:"required,startswith=/,max=256"`
	// Repeat is the number of times that the call is made. Default 1.
	Repeat int `json:"repeat,omitempty" validate:"gte=0,lte=100"`
}

// ColdStart makes work slower after the start of the process.
type ColdStart struct {
	// Factor multiplies service times. Default 1.
	Factor float64 `json:"factor,omitempty" validate:"omitempty,gte=1,lte=1000"`
	// Seconds is how long it lasts, in seconds.
	Seconds float64 `json:"seconds,omitempty" validate:"gte=0,lte=3600"`
}

// HealthReporting sets how health and load reports mislead.
type HealthReporting struct {
	// LagMs is the age of what is reported, in milliseconds. Default 0.
	LagMs int `json:"reportLagMs,omitempty" validate:"gte=0,lte=600000"`
	// ForceHealthy reports an idle, healthy endpoint whatever is true.
	ForceHealthy bool `json:"lieHealthy,omitempty"`
	// ForceDead reports a dead endpoint whatever is true.
	ForceDead bool `json:"lieDead,omitempty"`
}

// Crash names requests that end the process, beside those with X-Crash: 1.
type Crash struct {
	// PathContains is a part of the path and query. Empty: none.
	PathContains string `json:"pathContains,omitempty" validate:"max=256"`
	// BodyContains is a part of the body. Empty: none.
	BodyContains string `json:"bodyContains,omitempty" validate:"max=256"`
}

// RoutingMode is how child calls travel.
type RoutingMode string

// The ways.
const (
	// RoutingModeNode sends child calls to the local node.
	RoutingModeNode RoutingMode = "node"
	// RoutingModeDirect sends child calls to endpoints, without galenacart.
	RoutingModeDirect RoutingMode = "direct"
)

// Downstream says how child calls are made.
type Downstream struct {
	// RoutingMode is node or direct.
	RoutingMode RoutingMode `json:"way,omitempty"`
	// OutboundAddress is the local node's address for child calls, for node.
	OutboundAddress string `json:"outboundAddress,omitempty"`
	// Endpoints lists the endpoints of each service, for direct.
	Endpoints []ServiceEndpoints `json:"endpoints,omitempty" validate:"max=500,dive"`
	// Tries is the number of tries of a child call. Default 1 for node and 3
	// for direct.
	Tries int `json:"tries,omitempty" validate:"gte=0,lte=100"`
	// TryTimeoutMs bounds one try, in milliseconds. Default 0 (no bound) for
	// node and 1000 for direct.
	TryTimeoutMs int `json:"tryTimeoutMs,omitempty" validate:"gte=0,lte=600000"`
}

// ServiceEndpoints lists the endpoints of one service.
type ServiceEndpoints struct {
	// Service is the name of the service.
	Service string `json:"service" validate:"required,max=64"`
	// Addresses are IP addresses and ports.
	Addresses []string `json:"addresses" validate:"required,min=1,max=1000"`
}

// DrainLinger is the least time between the start of draining and the end.
func (s *Settings) DrainLinger() time.Duration {
	return time.Duration(s.DrainLingerMs) * time.Millisecond
}

// TryTimeout bounds one try of a child call; 0 is no bound.
func (d *Downstream) TryTimeout() time.Duration {
	return time.Duration(d.TryTimeoutMs) * time.Millisecond
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Package deployment describes the VMs of an example deployment: their zones, their
// capacity, and the service time of their endpoints for each route.
package deployment

import (
	"github.com/galenacart/galenacart/internal/standin/endpoint"
	"github.com/galenacart/galenacart/internal/strictjson"
)

const maxBytes = 1 << 20

// Deployment is the whole document.
type Deployment struct {
	// Name is the short name of the deployment.
	Name string `json:"name" validate:"required,max=64"`
	// Region is the region of all availability zones.
	Region string `json:"region" validate:"required,max=64"`
	// AvailabilityZones lists the availability zones.
	AvailabilityZones []string `json:"availabilityZones" validate:"required,min=1,max=10,unique,dive,required"`
	// FleetKey is the secret that all nodes share. It only protects a deployment
	// of stand-ins on one machine.
	FleetKey string `json:"fleetKey" validate:"required,min=16,max=256"`
	// Platform describes the platform stand-in.
	Platform Platform `json:"platform"`
	// Services lists the services and their VMs.
	Services []Service `json:"services" validate:"required,min=1,max=200,dive"`
	// Routes lists the service time and calls of each route of the catalogue.
	Routes []Route `json:"routes" validate:"required,min=1,max=1000,dive"`
}

// Platform describes the platform stand-in.
type Platform struct {
	// ReadsPerSecond is the read rate that the platform serves to all readers
	// together.
	ReadsPerSecond int `json:"readsPerSecond" validate:"gte=1,lte=1000000"`
	// VMListLagMs is the age of the list of VMs, in milliseconds.
	VMListLagMs int `json:"vmListLagMs" validate:"gte=0,lte=600000"`
}

// Service is one service of the catalogue.
type Service struct {
	// Name is the service's name in the catalogue.
	Name string `json:"name" validate:"required,max=64"`
	// ConnectionCostMs is the time that an endpoint spends on a new connection,
	// in milliseconds.
	ConnectionCostMs float64 `json:"connectionCostMs" validate:"gte=0,lte=1000"`
	// ProbeCostMs is the time that an endpoint spends on a health probe, in
	// milliseconds.
	ProbeCostMs float64 `json:"probeCostMs" validate:"gte=0,lte=1000"`
	// ColdStart makes a new endpoint temporarily slower.
	ColdStart endpoint.ColdStart `json:"coldStart"`
	// VMs lists the service's VMs.
	VMs []VM `json:"vms" validate:"required,min=1,max=200,dive"`
}

// VM is one VM with its endpoint.
type VM struct {
	// Name is the unique name of the VM.
	Name string `json:"name" validate:"required,max=128"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `json:"availabilityZone" validate:"required"`
	// Slots is the number of calls that the endpoint runs concurrently.
	Slots int `json:"slots" validate:"gte=1,lte=10000"`
	// Queue is the maximum number of calls that wait for a slot.
	Queue int `json:"queue" validate:"gte=0,lte=100000"`
	// Connections is the maximum number of connections to the endpoint.
	Connections int `json:"connections" validate:"gte=1,lte=100000"`
	// ColdStart overrides that of the service.
	ColdStart *endpoint.ColdStart `json:"coldStart,omitempty"`
	// HealthReporting sets how the endpoint's health and load reports are wrong.
	HealthReporting endpoint.HealthReporting `json:"report,omitzero"`
}

// Route describes how endpoints serve one route.
type Route struct {
	// Name is the route's name in the catalogue.
	Name string `json:"name" validate:"required,max=64"`
	// ServiceTime is the time in a slot, excluding downstream calls.
	ServiceTime endpoint.ServiceTime `json:"serviceTime"`
	// Calls names the routes that the endpoint calls, in sequence.
	Calls []string `json:"calls,omitempty" validate:"max=32,dive,required"`
}

// Decode decodes and validates a deployment. The error is a *strictjson.Faults.
func Decode(file string, data []byte) (*Deployment, error) {
	return strictjson.DecodeChecked(file, data, (*Deployment).check)
}

// ReadFile reads and validates the deployment in a file.
func ReadFile(file string) (*Deployment, error) {
	return strictjson.Load(file, maxBytes, Decode)
}

package settings

import (
	"net/netip"
	"time"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// Mesh is the settings document of a node whose callers are the clients of a
// platform that publishes its configuration and its endpoints.
type Mesh struct {
	// VM is the unique name of the VM.
	VM string `json:"vm" validate:"required,max=128"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `json:"availabilityZone" validate:"required,max=64"`
	// Region is the region of the availability zone.
	Region string `json:"region" validate:"required,max=64"`
	// Service is the service of the local endpoint.
	Service string `json:"service" validate:"required,max=64"`
	// ClientAddress is the IP address and port at which the VM's clients and its
	// endpoint send their requests.
	ClientAddress string `json:"clientAddress" validate:"required"`
	// PeerAddress is the IP address and port at which other nodes reach the node.
	// All nodes listen on the same port.
	PeerAddress string `json:"peerAddress" validate:"required"`
	// ReadinessAddress is the IP address and port of the readiness check.
	ReadinessAddress string `json:"readinessAddress" validate:"required"`
	// EndpointAddress is the IP address and port of the local endpoint.
	EndpointAddress string `json:"endpointAddress" validate:"required"`
	// StatusAddress is the IP address and port of status, metrics and events.
	StatusAddress string `json:"statusAddress" validate:"required"`
	// PlatformAddress is the IP address and port of the platform's store.
	PlatformAddress string `json:"platformAddress" validate:"required"`
	// StopTimeout bounds a planned stop, such as "6s".
	StopTimeout string `json:"stopTimeout" validate:"required"`
	// RetryRatio is the share of the requests for a service by which the fleet
	// may repeat them.
	RetryRatio float64 `json:"retryRatio" validate:"gte=0,lte=1"`
	// RetryAllowance is the number of repeats that the fleet may make beside it.
	RetryAllowance float64 `json:"retryAllowance" validate:"gte=0,lte=1000000"`
	// RetryWindow is the time over which repeats are counted, such as "10s".
	RetryWindow string `json:"retryWindow" validate:"required"`
	// AnswerHeadBytes bounds the head of an answer of the local endpoint, with what comes
	// ahead of it, in bytes. Default 65536, which common proxies allow.
	AnswerHeadBytes int `json:"answerHeadBytes,omitempty" validate:"omitempty,gte=1024,lte=1048576"`
	// MemoryMB is the memory that the process may use, in MB. A quarter of it bounds the
	// bodies of answers that are being read. Default: 128 MB for these.
	MemoryMB int `json:"memoryMb,omitempty" validate:"omitempty,gte=16,lte=1048576"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// DecodeMesh reads and checks settings. file is used in errors only. The error
// is a *strictjson.Faults that lists every fault.
func DecodeMesh(file string, data []byte) (*Mesh, error) {
	return strictjson.DecodeChecked(file, data, (*Mesh).check)
}

func (m *Mesh) check() []strictjson.Fault {
	k := &checker{faults: strictjson.Validate(m), owners: make(map[netip.AddrPort]string)}
	own := []struct{ pointer, value string }{
		{"/clientAddress", m.ClientAddress},
		{"/peerAddress", m.PeerAddress},
		{"/readinessAddress", m.ReadinessAddress},
		{"/endpointAddress", m.EndpointAddress},
		{"/statusAddress", m.StatusAddress},
	}
	for _, a := range own {
		if address, ok := k.address(a.pointer, a.value); ok {
			k.unique(a.pointer, address)
		}
	}
	k.address("/platformAddress", m.PlatformAddress)
	k.duration("/stopTimeout", m.StopTimeout)
	k.duration("/retryWindow", m.RetryWindow)
	return k.faults
}

// duration checks a time with its unit.
func (k *checker) duration(pointer, value string) {
	d, err := time.ParseDuration(value)
	if value != "" && (err != nil || d <= 0) {
		k.fault(pointer, "have %q; want a time over 0 with its unit, such as \"2.5s\"", value)
	}
}

// StopTimeoutDuration bounds a planned stop.
func (m *Mesh) StopTimeoutDuration() time.Duration {
	return checked(m.StopTimeout)
}

// RetryWindowDuration is the time over which repeats are counted.
func (m *Mesh) RetryWindowDuration() time.Duration {
	return checked(m.RetryWindow)
}

// checked returns a time that was checked when the settings were read.
func checked(value string) time.Duration {
	d, _ := time.ParseDuration(value) // a fault is found by check
	return d
}

package settings

import (
	"cmp"
	"math"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// Mesh is the settings document of a node that serves the clients of a platform. The
// platform publishes its configuration and its endpoints.
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
	// RetryRatio is the number of repeats that the fleet may make, as a share of the
	// requests for a service.
	RetryRatio float64 `json:"retryRatio" validate:"gte=0,lte=1"`
	// RetryAllowance is the number of repeats that the fleet may make in addition to
	// retryRatio.
	RetryAllowance float64 `json:"retryAllowance" validate:"gte=0,lte=1000000"`
	// RetryWindow is the time over which repeats are counted, such as "10s".
	RetryWindow string `json:"retryWindow" validate:"required"`
	// UpdateBound is the time within which a change of the configuration must be in force at
	// every node, such as "2s". Default 2s.
	UpdateBound string `json:"updateBound,omitempty"`
	// DrainTime is the time for which an endpoint that has begun to leave still serves, such as
	// "2s". Default 2s.
	DrainTime string `json:"drainTime,omitempty"`
	// EndpointHeartbeat is the interval at which endpoints renew their entries in the platform's
	// store, such as "1500ms". After an outage of the store in which entries can't have lapsed,
	// missing ones count as removed at once. Default: any outage counts as long enough.
	EndpointHeartbeat string `json:"endpointHeartbeat,omitempty"`
	// AnswerHeadBytes bounds the head of an answer of the local endpoint, including all
	// bytes before it, in bytes. Default 65536, which common proxies allow.
	AnswerHeadBytes int `json:"answerHeadBytes,omitempty" validate:"omitempty,gte=1024,lte=1048576"`
	// MemoryMB is the memory that the process may use, in MB. Requests and answers that the node
	// holds may use a third of it, and a single request with its answer a quarter; answers that are
	// being read from the local endpoint may use two ninths. Default 512.
	MemoryMB int `json:"memoryMb,omitempty" validate:"omitempty,gte=16,lte=1048576"`
	// Descriptors is the number of file descriptors that the process may open. Connections of
	// clients may use half of them; beyond that, those that have been idle longest are closed.
	// Default: the limit that the process was started with.
	Descriptors int `json:"descriptors,omitempty" validate:"omitempty,gte=64,lte=1048576"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// DecodeMesh decodes and checks settings. file is used in errors only. The error
// is a *strictjson.Faults that lists every fault.
func DecodeMesh(file string, data []byte) (*Mesh, error) {
	return strictjson.DecodeChecked(file, data, (*Mesh).check)
}

func (m *Mesh) check() []strictjson.Fault {
	c := &checker{faults: strictjson.Validate(m), pointers: make(map[netip.AddrPort]string)}
	local := []struct{ pointer, value string }{
		{"/clientAddress", m.ClientAddress},
		{"/peerAddress", m.PeerAddress},
		{"/readinessAddress", m.ReadinessAddress},
		{"/endpointAddress", m.EndpointAddress},
		{"/statusAddress", m.StatusAddress},
	}
	for _, a := range local {
		if address, ok := c.address(a.pointer, a.value); ok {
			c.unique(a.pointer, address)
		}
	}
	c.address("/platformAddress", m.PlatformAddress)
	c.duration("/stopTimeout", m.StopTimeout)
	c.duration("/retryWindow", m.RetryWindow)
	c.duration("/updateBound", m.UpdateBound)
	c.duration("/drainTime", m.DrainTime)
	c.duration("/endpointHeartbeat", m.EndpointHeartbeat)
	return c.faults
}

// duration checks a positive duration with its unit.
func (c *checker) duration(pointer, value string) {
	d, err := time.ParseDuration(value)
	if value != "" && (err != nil || d <= 0) {
		c.addFault(pointer, "have %q; want a time over 0 with its unit, such as \"2.5s\"", value)
	}
}

// StopTimeoutDuration bounds a planned stop.
func (m *Mesh) StopTimeoutDuration() time.Duration {
	return parseDuration(m.StopTimeout)
}

// defaultMemoryMB is the memory of a process whose settings name none, in MB.
const defaultMemoryMB = 512

// MemoryBytes is the memory that the process may use, in bytes.
func (m *Mesh) MemoryBytes() int {
	return cmp.Or(m.MemoryMB, defaultMemoryMB) << 20
}

// DescriptorsMax is the number of file descriptors that the process may open.
func (m *Mesh) DescriptorsMax() int {
	var limit unix.Rlimit
	if m.Descriptors > 0 || unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return cmp.Or(m.Descriptors, defaultDescriptors)
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultDescriptors is the usual limit of a process.
const defaultDescriptors = 1024

// defaultUpdateBound is short for any platform whose store answers within 100 ms.
const defaultUpdateBound = 2 * time.Second

// UpdateBoundDuration is the time within which a change must be in force at every node.
func (m *Mesh) UpdateBoundDuration() time.Duration {
	if m.UpdateBound == "" {
		return defaultUpdateBound
	}
	return parseDuration(m.UpdateBound)
}

// defaultDrainTime is the usual time for which an endpoint serves after it has begun to leave.
const defaultDrainTime = 2 * time.Second

// DrainTimeDuration is the time for which an endpoint that has begun to leave still serves.
func (m *Mesh) DrainTimeDuration() time.Duration {
	if m.DrainTime == "" {
		return defaultDrainTime
	}
	return parseDuration(m.DrainTime)
}

// EndpointHeartbeatDuration is the interval at which endpoints renew their entries, or 0 if it isn't known.
func (m *Mesh) EndpointHeartbeatDuration() time.Duration {
	if m.EndpointHeartbeat == "" {
		return 0
	}
	return parseDuration(m.EndpointHeartbeat)
}

// RetryWindowDuration is the time over which repeats are counted.
func (m *Mesh) RetryWindowDuration() time.Duration {
	return parseDuration(m.RetryWindow)
}

// parseDuration parses a duration that was checked when the settings were read.
func parseDuration(value string) time.Duration {
	d, _ := time.ParseDuration(value) // check has reported any error
	return d
}

// Package settings defines the settings of a node, which are read from a file at its
// start. Some settings of a Mesh can be reloaded; what else operators change at run
// time is in the catalogue.
package settings

import (
	"net"
	"time"

	"github.com/galenacart/galenacart/internal/strictjson"
)

// maxBytes bounds a settings document.
const maxBytes = 64 << 10

// Node is the settings document of one node.
type Node struct {
	// VM is the unique name of the VM.
	VM string `json:"vm" validate:"required,max=128"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `json:"availabilityZone" validate:"required,max=64"`
	// Region is the region of the availability zone.
	Region string `json:"region" validate:"required,max=64"`
	// Service is the service of the local endpoint.
	Service string `json:"service" validate:"required,max=64"`
	// CallerAddress is the IP address and port at which callers reach the node.
	CallerAddress string `json:"callerAddress" validate:"required"`
	// PeerAddress is the IP address and port at which other nodes reach the node.
	PeerAddress string `json:"peerAddress" validate:"required"`
	// PeerListenAddress is the IP address and port on which the node listens for
	// other nodes, if a forwarder listens at peerAddress. Default: peerAddress.
	PeerListenAddress string `json:"peerListenAddress,omitempty"`
	// DialFromAddress is the source IP address of connections to other nodes and to
	// the platform. Default: the system chooses.
	DialFromAddress string `json:"dialFromAddress,omitempty"`
	// OutboundAddress is the loopback IP address and port to which the local
	// endpoint sends its own calls.
	OutboundAddress string `json:"outboundAddress" validate:"required"`
	// EndpointAddress is the IP address and port of the local endpoint.
	EndpointAddress string `json:"endpointAddress" validate:"required"`
	// StatusAddress is the IP address and port of status, metrics and events.
	StatusAddress string `json:"statusAddress" validate:"required"`
	// PlatformAddresses are the IP addresses and ports of the platform's service.
	PlatformAddresses []string `json:"platformAddresses" validate:"required,min=1,max=16"`
	// FleetKey is the secret that all nodes of the deployment share.
	FleetKey string `json:"fleetKey" validate:"required,min=16,max=256"`
	// StopTimeoutMs bounds a planned stop, in milliseconds. Default 20000.
	StopTimeoutMs int `json:"stopTimeoutMs,omitempty" validate:"gte=0,lte=600000"`
	// ConnectionSilenceMs is the time without progress after which a connection
	// counts as lost, in milliseconds. Default 1000.
	ConnectionSilenceMs int `json:"connectionSilenceMs,omitempty" validate:"gte=0,lte=60000"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"`
}

// Defaults of optional settings.
const (
	defaultStopTimeout       = 20 * time.Second
	defaultConnectionSilence = time.Second
)

// Decode decodes and checks settings. file is used in errors only. The error is a
// *strictjson.Faults that lists every fault.
func Decode(file string, data []byte) (*Node, error) {
	return strictjson.DecodeChecked(file, data, (*Node).check)
}

// ReadFile reads and checks the settings in a file.
func ReadFile(file string) (*Node, error) {
	return strictjson.Load(file, maxBytes, Decode)
}

// EffectivePeerListenAddress is the IP address and port on which the node listens for other
// nodes.
func (n *Node) EffectivePeerListenAddress() string {
	if n.PeerListenAddress == "" {
		return n.PeerAddress
	}
	return n.PeerListenAddress
}

// Dialer returns a dialer for connections to other nodes and to the platform. timeout
// bounds the time to connect.
func (n *Node) Dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if ip := net.ParseIP(n.DialFromAddress); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// StopTimeout returns the bound on the duration of a planned stop.
func (n *Node) StopTimeout() time.Duration {
	if n.StopTimeoutMs == 0 {
		return defaultStopTimeout
	}
	return time.Duration(n.StopTimeoutMs) * time.Millisecond
}

// ConnectionSilence returns the time without progress after which a connection counts
// as lost.
func (n *Node) ConnectionSilence() time.Duration {
	if n.ConnectionSilenceMs == 0 {
		return defaultConnectionSilence
	}
	return time.Duration(n.ConnectionSilenceMs) * time.Millisecond
}

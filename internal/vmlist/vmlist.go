// Package vmlist is the platform's list of live and leaving VMs. The list lags
// behind what it describes.
package vmlist

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// State is what the platform last knew of a VM.
type State string

// The states of a VM in the list.
const (
	// Live means that the VM runs.
	Live State = "live"
	// Leaving means that the VM will be stopped.
	Leaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	// Name is the unique name of the VM.
	Name string `json:"vm"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Region is the region of the availability zone.
	Region string `json:"region"`
	// Service is the service of the VM's endpoint.
	Service string `json:"service"`
	// PeerAddress is the IP address and port at which nodes reach the VM's node.
	PeerAddress string `json:"peerAddress"`
	// CallerAddress is the IP address and port at which callers reach it.
	CallerAddress string `json:"callerAddress"`
	// State is live or leaving.
	State State `json:"state"`
}

// List is the whole list.
type List struct {
	// VMs holds the entries.
	VMs []VM `json:"vms"`
}

// Decode reads a list. Fields that it doesn't know are left out: the platform
// may add some, and a list that every node refuses would stop all routing.
func Decode(data []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(data, l); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	return l, nil
}

// Package vmlist decodes the platform's list of live and leaving VMs. The list
// lags behind the actual state of the VMs.
package vmlist

import (
	"encoding/json"
	"unique"

	"github.com/pkg/errors"
)

// State is the last state of a VM that the platform recorded.
type State string

// The states of a VM in the list.
const (
	// Live means that the VM runs.
	Live State = "live"
	// Leaving means that the VM is about to be stopped.
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

// List is the list of VMs.
type List struct {
	// VMs holds the entries.
	VMs []VM `json:"vms"`
}

// Decode decodes a list in either form, flat or grouped. It ignores unknown
// fields: the platform may add some, and a list that every node refuses would
// stop all routing.
func Decode(data []byte) (*List, error) {
	g := &GroupedList{}
	if err := json.Unmarshal(data, g); err != nil {
		return nil, errors.Wrap(err, "VM list")
	}
	return g.flatten(), nil
}

// Table is a list in force. It and its entries are immutable, so that tables share
// the entries that did not change.
type Table struct {
	// VMs holds the entries in the order of the list.
	VMs []*VM
}

// NewTable returns the table of a list.
func NewTable(l *List) *Table {
	t := &Table{VMs: make([]*VM, len(l.VMs))}
	for i := range l.VMs {
		vm := l.VMs[i]
		vm.intern()
		t.VMs[i] = &vm
	}
	return t
}

// DecodeVM decodes one entry of a list. Like Decode, it ignores unknown fields.
func DecodeVM(data []byte) (*VM, error) {
	vm := &VM{}
	if err := json.Unmarshal(data, vm); err != nil {
		return nil, errors.Wrap(err, "entry of the VM list")
	}
	vm.intern()
	return vm, nil
}

// intern shares the strings that many VMs have in common.
func (vm *VM) intern() {
	for _, name := range []*string{&vm.AvailabilityZone, &vm.Region, &vm.Service, (*string)(&vm.State)} {
		*name = unique.Make(*name).Value()
	}
}

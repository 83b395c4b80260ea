// Package status serves the state, the recent events and the metrics of a node over
// HTTP. It is read-only.
package status

import (
	"encoding/json"
	"time"
)

// Node is the state of one node, as served at /status.
type Node struct {
	// VM is the unique name of the node's VM.
	VM string `json:"vm"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Region is the region of the availability zone.
	Region string `json:"region"`
	// Service is the service of the local endpoint.
	Service string `json:"service"`
	// Incarnation identifies the node's process; it changes with every restart.
	Incarnation uint64 `json:"incarnation,string"`
	// Version is the version of the program.
	Version string `json:"version"`
	// Leaving is set while the node is stopping.
	Leaving bool `json:"leaving"`
	// Catalogue is the catalogue in force and the reason why no newer one is.
	Catalogue Catalogue `json:"catalogue"`
	// Admission is the state of admission in front of the local endpoint.
	Admission json.RawMessage `json:"gate,omitempty"`
	// Records is the state of the records of non-idempotent calls.
	Records json.RawMessage `json:"records,omitempty"`
	// Control is the state of the control thread: members, links and readers.
	Control json.RawMessage `json:"control,omitempty"`
	// Refusals lists recent refusals, the oldest first.
	Refusals []Refusal `json:"refusals"`
}

// Summary is the short state of one node, as served at /summary. Its size doesn't
// depend on the size of the fleet.
type Summary struct {
	// VM is the unique name of the node's VM.
	VM string `json:"vm"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `json:"availabilityZone"`
	// Service is the service of the local endpoint.
	Service string `json:"service"`
	// Version is the version of the program.
	Version string `json:"version"`
	// Leaving is set while the node is stopping.
	Leaving bool `json:"leaving"`
	// Catalogue is the catalogue in force and the reason why no newer one is.
	Catalogue Catalogue `json:"catalogue"`
	// Refusals counts the retained refusals of the last minute.
	Refusals int `json:"refusals"`
}

// Catalogue is the state of the catalogue on a node.
type Catalogue struct {
	// Revision is the platform's revision of the catalogue in force. 0 means
	// that there is none.
	Revision uint64 `json:"revision"`
	// Refused is the newest revision that the node received and refused, or 0.
	Refused uint64 `json:"refused,omitempty"`
	// Reason says why no newer catalogue is in force, if known.
	Reason string `json:"reason,omitempty"`
}

// Refusal is one call that the node refused instead of forwarding it to the endpoint.
type Refusal struct {
	// Time is the wall time of the answer.
	Time time.Time `json:"time"`
	// Correlation is the ID under which events of the request are logged.
	Correlation string `json:"correlation"`
	// Kind is the name of the error kind, which never changes.
	Kind string `json:"kind"`
	// Detail explains the cause.
	Detail string `json:"detail"`
}

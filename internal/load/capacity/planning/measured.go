// Package planning extrapolates the measured cost of fleets of real processes on
// one machine to a fleet of the planned size: measured points, linear fits, values
// at the planned size and their margins. It reads no files and measures nothing
// itself.
package planning

import (
	"time"

	"github.com/pkg/errors"
)

// Measurement holds all results of one measurement. The command stores it as JSON,
// so that the computation can be repeated.
type Measurement struct {
	// StartedAt is the wall clock time of the start.
	StartedAt time.Time `json:"taken"`
	// Machine describes the machine of the measurement.
	Machine Machine `json:"machine"`
	// Fleets holds one point for each fleet at rest.
	Fleets []Fleet `json:"fleets"`
	// EventCosts holds one point for each fleet in which VMs left and joined.
	EventCosts []EventCosts `json:"events"`
	// Traffic holds one point for each fleet with calls.
	Traffic []Traffic `json:"traffic"`
	// ListBytesPerVM is the size of one entry of the VM list, in bytes.
	ListBytesPerVM float64 `json:"listBytesPerVM"`
	// RecordBytes is the size of the record of one VM on a link, in bytes.
	RecordBytes float64 `json:"recordBytes"`
	// CatalogueBytesPerService is the size of a service with its routes in the
	// catalogue, in bytes.
	CatalogueBytesPerService float64 `json:"catalogueBytesPerService"`
}

// check returns an error if a part is missing.
func (m *Measurement) check() error {
	switch {
	case len(m.Fleets) < 2:
		return errors.New("fleets: want at least 2 to determine growth")
	case len(m.EventCosts) < 2:
		return errors.New("events: want at least 2 to determine growth")
	case len(m.Traffic) != len(m.EventCosts):
		return errors.New("traffic: want one point for each of events")
	}
	return nil
}

// Machine describes the machine of a measurement.
type Machine struct {
	// Cores is the number of processors.
	Cores int `json:"cores"`
	// Go is the version of the Go release.
	Go string `json:"go"`
	// LoadBefore is the load average of the minute before the start. A value far
	// over 0 means that the machine was busy with other work.
	LoadBefore float64 `json:"loadBefore"`
	// LoadAfter is the load average of the last minute of the measurement.
	LoadAfter float64 `json:"loadAfter"`
}

// Fleet holds the costs of an idle fleet and of one catalogue change.
type Fleet struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones with nodes.
	Zones int `json:"zones"`
	// Listed is the number of further VMs in the VM list, without processes.
	Listed int `json:"listed"`
	// Services is the number of services in the catalogue.
	Services int `json:"services"`
	// Reader is the mean of the nodes that watch the platform.
	Reader RoleCost `json:"reader"`
	// Idle is the mean of the nodes that do not watch the platform.
	Idle RoleCost `json:"idle"`
	// StartSeconds is the time from the start of all processes at once until all
	// have the catalogue in force.
	StartSeconds float64 `json:"startSeconds"`
	// StartPeakReads is the peak of platform reads in one second by then.
	StartPeakReads int `json:"startPeakReads"`
	// ChangeSeconds is the longest time for a change to be in force on all nodes.
	ChangeSeconds float64 `json:"changeSeconds"`
	// ChangeBytes is the payload of a change at a node, sent and received.
	ChangeBytes float64 `json:"changeBytes"`
	// ZoneSeconds is the time from the concurrent start of one zone's processes
	// until all have the catalogue in force.
	ZoneSeconds float64 `json:"zoneSeconds"`
	// PeakReads is the peak of platform reads in one second of the whole run.
	PeakReads int `json:"peakReads"`
	// ReadsPerSecond is the rate of platform reads of the idle fleet.
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// RevisionRegressions counts the times that the revision in force on a node
	// decreased.
	RevisionRegressions int `json:"back"`
}

// VMs returns the number of VMs in the list.
func (f *Fleet) VMs() float64 {
	return float64(f.Nodes + f.Listed)
}

// RoleCost is the mean resource use of an idle node of one role.
type RoleCost struct {
	// Nodes is the number of nodes in the mean.
	Nodes int `json:"nodes"`
	// Links is the number of links.
	Links float64 `json:"links"`
	// CPU is the processor time per second, in seconds.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory.
	MemoryBytes float64 `json:"memoryBytes"`
	// Messages is the rate of control messages sent and received, per second.
	Messages float64 `json:"messages"`
	// Bytes is the rate of their payload sent and received, in bytes per second.
	Bytes float64 `json:"bytes"`
}

// EventCosts holds the costs of events in a fleet. All costs exclude the idle cost
// over the same time, and are means over the nodes that ran throughout.
type EventCosts struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones.
	Zones int `json:"zones"`
	// Listed is the number of further VMs in the VM list, without processes.
	Listed int `json:"listed"`
	// Services is the number of services in the catalogue.
	Services int `json:"services"`
	// Reader is the mean of the nodes that watch the platform.
	Reader RoleCost `json:"reader"`
	// Idle is the mean of the nodes that do not watch the platform.
	Idle RoleCost `json:"idle"`
	// HeapBytes is the mean heap of idle nodes, including objects not yet collected.
	HeapBytes float64 `json:"heapBytes"`
	// CatalogueChange is the cost of one change of the catalogue.
	CatalogueChange Cost `json:"catalogueChange"`
	// ListChange is the cost of one change of the VM list.
	ListChange Cost `json:"listChange"`
	// Leave is the cost of the planned stop of one VM.
	Leave Cost `json:"leave"`
	// LeaveSeconds is the time from the signal to the end of the process.
	LeaveSeconds float64 `json:"leaveSeconds"`
	// Join is the cost of the start of one VM.
	Join Cost `json:"join"`
	// JoinSeconds is the time from the start of the process to a catalogue in force.
	JoinSeconds float64 `json:"joinSeconds"`
	// ZoneRestart is the cost of a concurrent restart of all VMs of one zone to the
	// nodes of the other zones.
	ZoneRestart Cost `json:"zone"`
	// ZoneVMs is the number of VMs of that zone.
	ZoneVMs int `json:"zoneVMs"`
	// ZonePeakReads is the peak of platform reads in one second of the restart.
	ZonePeakReads int `json:"zonePeakReads"`
	// ZoneFreeze is the cost of one zone that temporarily stops responding, as in a
	// partition, to the nodes of the other zones.
	ZoneFreeze Cost `json:"freeze"`
	// FreezePeakReads is the peak of platform reads in one second of the freeze.
	FreezePeakReads int `json:"freezePeakReads"`
}

// VMs returns the number of VMs in the list.
func (e *EventCosts) VMs() float64 {
	return float64(e.Nodes + e.Listed)
}

// Cost is the cost of one event to one node.
type Cost struct {
	// CPU is the processor time, in seconds.
	CPU float64 `json:"cpu"`
	// Messages counts control messages sent and received.
	Messages float64 `json:"messages"`
	// Bytes is their payload, in bytes.
	Bytes float64 `json:"bytes"`
	// Seconds is the time over which the cost was measured.
	Seconds float64 `json:"seconds"`
}

// Traffic holds the cost of calls to the two nodes on their path.
type Traffic struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// CallsPerSecond is the measured rate of calls.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// Failed counts calls without a successful answer.
	Failed int64 `json:"failed"`
	// SenderCPU is the processor time of the node that receives and forwards a
	// call, in seconds per call, beyond the idle cost.
	SenderCPU float64 `json:"senderCPU"`
	// ReceiverCPU is the processor time of the node beside the endpoint that
	// answers, in seconds per call, beyond the idle cost.
	ReceiverCPU float64 `json:"receiverCPU"`
	// SenderMemoryBytes is the resident memory of the sending node.
	SenderMemoryBytes float64 `json:"senderMemoryBytes"`
	// ReceiverMemoryBytes is the resident memory of the receiving node.
	ReceiverMemoryBytes float64 `json:"receiverMemoryBytes"`
	// AddedP50Micros is the median time added to a call, in microseconds.
	AddedP50Micros int64 `json:"addedP50Micros"`
	// AddedP99Micros is the time added to a call at the 0.99 quantile, in
	// microseconds.
	AddedP99Micros int64 `json:"addedP99Micros"`
}

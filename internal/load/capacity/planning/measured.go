// Package planning works out what a fleet of the planned size needs, from what
// fleets of real processes on one machine were measured to cost: measured
// points, slopes fitted through them, values at the planned size and their
// margins. It does no I/O and measures nothing itself.
package planning

import (
	"time"

	"github.com/pkg/errors"
)

// Measurement is everything that one measurement gave. The command keeps it as
// JSON, so that the arithmetic can be repeated.
type Measurement struct {
	// StartedAt is the wall time of the start.
	StartedAt time.Time `json:"taken"`
	// Machine describes where it was taken.
	Machine Machine `json:"machine"`
	// Fleets holds one point for each fleet at rest.
	Fleets []Fleet `json:"fleets"`
	// EventCosts holds one point for each fleet in which VMs came and went.
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

// check reports a part that is missing.
func (m *Measurement) check() error {
	switch {
	case len(m.Fleets) < 2:
		return errors.New("fleets: want at least 2, so that growth can be seen")
	case len(m.EventCosts) < 2:
		return errors.New("events: want at least 2, so that growth can be seen")
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
	// LoadBefore is the load average of the minute before the start. The machine
	// was busy with other work when it is far over 0.
	LoadBefore float64 `json:"loadBefore"`
	// LoadAfter is the load average of the last minute.
	LoadAfter float64 `json:"loadAfter"`
}

// Fleet is a fleet at rest and one change of the catalogue.
type Fleet struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones with nodes.
	Zones int `json:"zones"`
	// Listed is the number of further VMs in the VM list that do not run.
	Listed int `json:"listed"`
	// Services is the number of services in the catalogue.
	Services int `json:"services"`
	// Reader is the mean of the nodes that watch the platform.
	Reader RoleCost `json:"reader"`
	// Idle is the mean of the nodes without duty.
	Idle RoleCost `json:"idle"`
	// StartSeconds is the time from the start of all processes at once until all
	// have the catalogue in force.
	StartSeconds float64 `json:"startSeconds"`
	// StartPeakReads is the most reads of the platform in one second by then.
	StartPeakReads int `json:"startPeakReads"`
	// ChangeSeconds is the longest time for a change to be in force on all nodes.
	ChangeSeconds float64 `json:"changeSeconds"`
	// ChangeBytes is the payload that a change costs a node, sent and received.
	ChangeBytes float64 `json:"changeBytes"`
	// ZoneSeconds is the time from the start of one zone's processes at once
	// until all have the catalogue in force.
	ZoneSeconds float64 `json:"zoneSeconds"`
	// PeakReads is the most reads of the platform in one second of the whole run.
	PeakReads int `json:"peakReads"`
	// ReadsPerSecond is the rate of reads of the platform at rest.
	ReadsPerSecond float64 `json:"readsPerSecond"`
	// RevisionRegressions counts the times that a node took a smaller revision into force.
	RevisionRegressions int `json:"back"`
}

// VMs returns the number of VMs in the list.
func (f *Fleet) VMs() float64 {
	return float64(f.Nodes + f.Listed)
}

// RoleCost is what a node of one role costs at rest, on average.
type RoleCost struct {
	// Nodes is the number of nodes averaged.
	Nodes int `json:"nodes"`
	// Links is the number of links.
	Links float64 `json:"links"`
	// CPU is the processor time for each second, in seconds.
	CPU float64 `json:"cpu"`
	// MemoryBytes is the resident memory.
	MemoryBytes float64 `json:"memoryBytes"`
	// Messages is the rate of control messages sent and received, for each second.
	Messages float64 `json:"messages"`
	// Bytes is their payload sent and received, in bytes for each second.
	Bytes float64 `json:"bytes"`
}

// EventCosts is what changes in a fleet cost. All costs are beyond those of the
// same time at rest, and are means over the nodes that ran all the time.
type EventCosts struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// Zones is the number of availability zones.
	Zones int `json:"zones"`
	// Listed is the number of further VMs in the VM list that do not run.
	Listed int `json:"listed"`
	// Services is the number of services in the catalogue.
	Services int `json:"services"`
	// Reader is the mean of the nodes that watch the platform.
	Reader RoleCost `json:"reader"`
	// Idle is the mean of the nodes without duty.
	Idle RoleCost `json:"idle"`
	// HeapBytes is the mean heap at rest, which includes objects not yet collected.
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
	// ZoneRestart is the cost of a restart of all VMs of one zone at once, to the nodes
	// of the others.
	ZoneRestart Cost `json:"zone"`
	// ZoneVMs is the number of VMs of that zone.
	ZoneVMs int `json:"zoneVMs"`
	// ZonePeakReads is the most reads of the platform in one second of it.
	ZonePeakReads int `json:"zonePeakReads"`
	// ZoneFreeze is the cost of one zone that stops to answer for a while and comes
	// back, as after a cut, to the nodes of the others.
	ZoneFreeze Cost `json:"freeze"`
	// FreezePeakReads is the most reads of the platform in one second of it.
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
	// Seconds is the time over which the cost was taken.
	Seconds float64 `json:"seconds"`
}

// Traffic is the cost of calls to the two nodes on their way.
type Traffic struct {
	// Nodes is the number of node processes.
	Nodes int `json:"nodes"`
	// CallsPerSecond is the rate of calls that was reached.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// Failed counts calls without a successful answer.
	Failed int64 `json:"failed"`
	// SenderCPU is the processor time of the node that takes and forwards a call,
	// in seconds for each call, beyond that at rest.
	SenderCPU float64 `json:"senderCPU"`
	// ReceiverCPU is the processor time of the node beside the endpoint that
	// answers, in seconds for each call, beyond that at rest.
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

package fleetview

import "sync/atomic"

// ReportKind says what traffic saw.
type ReportKind uint8

// The kinds of reports.
const (
	// ReportPeerUnreachable means that no connection to a node could be made.
	ReportPeerUnreachable ReportKind = iota + 1
	// ReportPeerReachable means that a node that was set aside answers again.
	ReportPeerReachable
	// ReportEndpointCrashed means that an endpoint broke down while it ran the
	// request with the given fingerprint.
	ReportEndpointCrashed
)

// Report is one observation of traffic for the control thread.
type Report struct {
	// Kind says what was seen.
	Kind ReportKind
	// VM is the VM that the report is about.
	VM string
	// Fingerprint is the request of a ReportEndpointCrashed.
	Fingerprint uint64
}

// reportQueue bounds the reports that wait for the control thread.
const reportQueue = 1024

// Reports carries observations from traffic to control. Sending never blocks.
type Reports struct {
	queue   chan Report
	dropped atomic.Uint64
}

// NewReports returns an empty queue.
func NewReports() *Reports {
	return &Reports{queue: make(chan Report, reportQueue)}
}

// Send hands a report over, or counts it as dropped when the queue is full.
func (r *Reports) Send(one Report) {
	select {
	case r.queue <- one:
	default:
		r.dropped.Add(1)
	}
}

// Receive returns the channel that control reads.
func (r *Reports) Receive() <-chan Report {
	return r.queue
}

// Dropped returns the number of reports lost to a full queue.
func (r *Reports) Dropped() uint64 {
	return r.dropped.Load()
}

package fleetview

import "sync/atomic"

// ReportKind is what a Report says about a VM.
type ReportKind uint8

// The kinds of reports.
const (
	// ReportPeerUnreachable means that no connection to a node could be opened.
	ReportPeerUnreachable ReportKind = iota + 1
	// ReportPeerReachable means that a node that was excluded responds again.
	ReportPeerReachable
	// ReportEndpointCrashed means that an endpoint crashed while running the request with
	// the given fingerprint.
	ReportEndpointCrashed
)

// Report is an observation of the data path for the control thread.
type Report struct {
	// Kind is what was observed.
	Kind ReportKind
	// VM is the VM that the report is about.
	VM string
	// Fingerprint identifies the request of a ReportEndpointCrashed.
	Fingerprint uint64
}

// reportQueueSize bounds the reports that are queued for the control thread.
const reportQueueSize = 1024

// Reports is a queue of reports from the data path to the control thread. Sending never
// blocks.
type Reports struct {
	queue   chan Report
	dropped atomic.Uint64
}

// NewReports returns an empty queue.
func NewReports() *Reports {
	return &Reports{queue: make(chan Report, reportQueueSize)}
}

// Send queues a report, or counts it as dropped when the queue is full.
func (r *Reports) Send(report Report) {
	select {
	case r.queue <- report:
	default:
		r.dropped.Add(1)
	}
}

// Receive returns the channel that the control thread reads.
func (r *Reports) Receive() <-chan Report {
	return r.queue
}

// Dropped returns the number of reports dropped because of a full queue.
func (r *Reports) Dropped() uint64 {
	return r.dropped.Load()
}

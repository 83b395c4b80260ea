// Package metrics defines the metrics of a node, with their units, and writes them
// in the Prometheus text format and as JSON.
package metrics

// Type is the type of a metric in the text format.
type Type string

// Types of metrics.
const (
	// Counter only increases.
	Counter Type = "counter"
	// Gauge increases and decreases.
	Gauge Type = "gauge"
	// Summary has quantiles and a count.
	Summary Type = "summary"
)

// Definition describes one metric in the text format and in docs/OPERATIONS.md.
type Definition struct {
	// Name is the stable name. It ends in the unit, or in _total for a counter.
	Name string
	// Type is the type of the metric.
	Type Type
	// Unit is the unit of its value.
	Unit string
	// Help says what is measured.
	Help string
}

// Names of a node's metrics.
const (
	// NameCalls counts calls that the node answered, by role.
	NameCalls = "galenacart_calls_total"
	// NameRefusals counts answers that the node gave instead of the endpoint, by kind.
	NameRefusals = "galenacart_refusals_total"
	// NameRetries counts attempts beyond the first one of a call.
	NameRetries = "galenacart_retries_total"
	// NameOversizedAnswers counts answers of the local endpoint with more bytes than allowed.
	NameOversizedAnswers = "galenacart_oversized_answers_total"
	// NameCallSeconds is the time from a call's arrival to the end of its answer.
	NameCallSeconds = "galenacart_call_seconds"
	// NameRequests counts requests by route and outcome.
	NameRequests = "galenacart_requests_total"
	// NameRequestSeconds is the time from a request's arrival to its answer, by route.
	NameRequestSeconds = "galenacart_request_seconds"
	// NameAttempts counts calls sent to an endpoint, by outcome.
	NameAttempts = "galenacart_attempts_total"
	// NameAttemptSeconds is the time from sending a call to its reply, by endpoint.
	NameAttemptSeconds = "galenacart_attempt_seconds"
	// NameInFlight is the number of calls that the local endpoint is running.
	NameInFlight = "galenacart_in_flight_calls"
	// NameQueued is the number of calls that wait for a slot of the local endpoint.
	NameQueued = "galenacart_queued_calls"
	// NameRecords is the number of records of non-idempotent calls.
	NameRecords = "galenacart_records"
	// NameRecordBytes is the memory that these records use.
	NameRecordBytes = "galenacart_record_bytes"
	// NameRevision is the platform's revision of the catalogue in force.
	NameRevision = "galenacart_catalogue_revision"
	// NameGoroutines is the number of goroutines of the process.
	NameGoroutines = "galenacart_goroutines"
	// NameHeapBytes is the memory of live objects and those not yet collected.
	NameHeapBytes = "galenacart_heap_bytes"
)

// Definitions returns every metric that a node may expose, in the order of
// docs/OPERATIONS.md.
func Definitions() []Definition {
	return []Definition{
		{NameCalls, Counter, "calls", "Calls that the node answered, by the role in which it took them: caller, outbound or peer."},
		{NameRefusals, Counter, "answers", "Answers that were not the endpoint's own, by kind of docs/ERRORS.md."},
		{NameRetries, Counter, "attempts", "Attempts beyond the first one of a call."},
		{NameOversizedAnswers, Counter, "answers", "On the platform: answers of the local endpoint that had more bytes than allowed and were cut off."},
		{NameCallSeconds, Summary, "seconds", "Time from a call's arrival to the end of its answer."},
		{NameRequests, Counter, "requests", "On the platform: requests of clients and calls of the local endpoint, by route and outcome: served, failed (by the endpoint), refused (not run), unknown (no promise). Beyond 64 routes: other."},
		{NameRequestSeconds, Summary, "seconds", "On the platform: time from a request's arrival to its answer, by route."},
		{NameAttempts, Counter, "calls", "On the platform: calls sent to an endpoint through its node, by endpoint and outcome. Beyond 64 endpoints: other."},
		{NameAttemptSeconds, Summary, "seconds", "On the platform: time from sending a call to its reply, by endpoint."},
		{NameInFlight, Gauge, "calls", "Calls that the local endpoint runs now."},
		{NameQueued, Gauge, "calls", "Calls that wait for a slot of the local endpoint."},
		{NameRecords, Gauge, "records", "Records of non-idempotent calls."},
		{NameRecordBytes, Gauge, "bytes", "Memory that records of non-idempotent calls hold."},
		{NameRevision, Gauge, "revision", "The platform's revision of the catalogue in force; 0 before the first."},
		{NameGoroutines, Gauge, "goroutines", "Goroutines of the process."},
		{NameHeapBytes, Gauge, "bytes", "Memory of live and not yet collected objects."},
		{"galenacart_control_catalogue_revision", Gauge, "revision", "The revision that the control thread last published."},
		{"galenacart_control_members", Gauge, "VMs", "VMs that the node knows of."},
		{"galenacart_control_reports_dropped", Gauge, "reports", "Observations of traffic that were lost to a full queue, since the start."},
		{"galenacart_control_messages_sent", Gauge, "messages", "Messages sent to peers, since the start."},
		{"galenacart_control_bytes_sent", Gauge, "bytes", "Bytes sent to peers, since the start."},
		{"galenacart_control_messages_received", Gauge, "messages", "Messages received from peers, since the start."},
		{"galenacart_control_bytes_received", Gauge, "bytes", "Bytes received from peers, since the start."},
		{"galenacart_control_platform_reads_total", Counter, "reads", "Reads of the platform."},
		{"galenacart_control_late_wakeups_total", Counter, "wake-ups", "Times that the control thread had not run for a while."},
	}
}

package event

import "github.com/rs/zerolog"

// Events of calls and of the local endpoint.
const (
	// CallRefused means that the node answered a caller instead of the endpoint.
	CallRefused Number = 1001
	// CallRetried means that a failed attempt is retried.
	CallRetried Number = 1002
	// EndpointCrashed means that the local endpoint crashed.
	EndpointCrashed Number = 1003
	// ConnectionSilent means that a connection made no progress for too long.
	ConnectionSilent Number = 1004
	// SuspectRefused means that a request that crashes endpoints was refused.
	SuspectRefused Number = 1005
	// AnswerInvalid means that an answer was truncated or belonged to another call.
	AnswerInvalid Number = 1006
	// OutcomeQueried means that a node queried the outcome of an attempt.
	OutcomeQueried Number = 1007
	// UnauthenticatedCallRefused means that a call came from outside the fleet.
	UnauthenticatedCallRefused Number = 1008
	// EndpointStalled means that the local endpoint accepts connections but does not
	// answer.
	EndpointStalled Number = 1009
	// EndpointRecovered means that the local endpoint answers again.
	EndpointRecovered Number = 1010
	// EndpointFailed means that the local endpoint answered a call with a failure.
	EndpointFailed Number = 1011
	// OutboundCallRefused means that a call of the local endpoint got an answer from a
	// node instead of the called endpoint.
	OutboundCallRefused Number = 1012
	// OutboundCallFailed means that the called endpoint answered a call of the local
	// endpoint with a failure.
	OutboundCallFailed Number = 1013
	// EndpointAborting means that the local endpoint aborts all calls.
	EndpointAborting Number = 1014
	// PanicRecovered means that the node recovered from a panic of its own code.
	PanicRecovered Number = 1015
	// AnswerOversized means that an answer of the local endpoint had more bytes than
	// allowed.
	AnswerOversized Number = 1016
	// EndpointLimited means that the local endpoint named another rate of calls.
	EndpointLimited Number = 1017
	// EndpointLeaving means that an answer of the local endpoint said that it is leaving.
	EndpointLeaving Number = 1018
)

// trafficEvents holds the definitions numbered from 1000.
var trafficEvents = []Definition{
	{Number: CallRefused, Name: "call_refused", Level: zerolog.InfoLevel, Meaning: "The node answered a caller instead of the endpoint. The fields route, kind, ran and detail say why."},
	{Number: CallRetried, Name: "call_retried", Level: zerolog.DebugLevel, Meaning: "A failed attempt is retried at another endpoint."},
	{Number: EndpointCrashed, Name: "endpoint_crashed", Level: zerolog.WarnLevel, Meaning: "The local endpoint crashed while it ran the request with this fingerprint, possibly together with others. A fingerprint that occurs in several crashes is the likely cause; on the platform the field crash distinguishes the crashes. Check the endpoint's own log."},
	{Number: ConnectionSilent, Name: "connection_silent", Level: zerolog.WarnLevel, Meaning: "A connection to another node or to the local endpoint made no progress. It was closed, and so were the idle connections to the same address. Check the network and the other side."},
	{Number: SuspectRefused, Name: "suspect_refused", Level: zerolog.WarnLevel, Meaning: "A request that crashed endpoints was refused."},
	{Number: AnswerInvalid, Name: "answer_broken", Level: zerolog.WarnLevel, Meaning: "An answer was truncated or belonged to another call. The caller did not get it as a complete answer."},
	{Number: OutcomeQueried, Name: "outcome_asked", Level: zerolog.InfoLevel, Meaning: "After an answer was lost, a node queried the outcome of its non-idempotent call."},
	{Number: EndpointStalled, Name: "endpoint_stalled", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The local endpoint accepts connections but does not answer. The node accepts no calls for it until it answers a probe. Check the endpoint."},
	{Number: EndpointRecovered, Name: "endpoint_back", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The local endpoint answers again."},
	{Number: UnauthenticatedCallRefused, Name: "stranger_refused", Level: zerolog.WarnLevel, Meaning: "A call without a proof of the fleet key arrived at the peer address and was refused. Check fleetKey in the settings of all nodes."},
	{Number: EndpointFailed, Name: "endpoint_failed", Level: zerolog.InfoLevel, Meaning: "The local endpoint answered a call with a failure of its own after the time in the field took. If calls that it made failed meanwhile (1012 and 1013 at the same VM), they are the likely cause."},
	{Number: OutboundCallRefused, Name: "own_call_refused", Level: zerolog.InfoLevel, Meaning: "A node answered a call of the local endpoint instead of the called endpoint. The fields route, kind, ran and detail say why. The request for which the endpoint made the call has probably failed."},
	{Number: OutboundCallFailed, Name: "own_call_failed", Level: zerolog.InfoLevel, Meaning: "The called endpoint answered a call of the local endpoint with a failure and has event 1011 under the same correlation. The request for which the local endpoint made the call has probably failed."},
	{Number: EndpointAborting, Name: "endpoint_broken", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The local endpoint aborted three calls in a row, or connections to it fail. The node refuses calls for it, except for single calls, until one of these is answered (1010). The field error is that of the last call. Check the endpoint."},
	{Number: AnswerOversized, Name: "answer_oversized", Level: zerolog.WarnLevel, Meaning: "The local endpoint sent more than max_bytes as the head or the body of an answer; the field part says which. The connection was closed at once, and it is unknown whether the call ran to its end. If the answer was legitimate, raise answerHeadBytes."},
	{Number: PanicRecovered, Name: "work_panicked", Level: zerolog.ErrorLevel, Meaning: "The node's own code panicked, which is a fault of the program: report it with the fields cause and stack. The outcome of an affected call is unknown; a background task restarts after one second. The process continues."},
	{Number: EndpointLimited, Name: "endpoint_limited", Level: zerolog.InfoLevel, Meaning: "The local endpoint has named the calls a second that it takes, another number than before, or none any more (0). The node passes on no more calls than that; others go to other endpoints, wait or are refused. With the field error the endpoint named something else, and the rate of before holds. Check why the endpoint is in need."},
	{Number: EndpointLeaving, Name: "endpoint_leaving", Level: zerolog.InfoLevel, Meaning: "An answer of the local endpoint said that it is leaving. Its node accepts no more calls for this run of it, and other nodes that get such an answer send none."},
}

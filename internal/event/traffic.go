package event

import "github.com/rs/zerolog"

// The events of traffic.
const (
	// CallRefused means that a caller got an answer in place of the endpoint's own.
	CallRefused Number = 1001
	// CallRetried means that a failed attempt is followed by another one.
	CallRetried Number = 1002
	// EndpointCrashed means that the local endpoint broke down.
	EndpointCrashed Number = 1003
	// ConnectionSilent means that a connection showed no progress for too long.
	ConnectionSilent Number = 1004
	// SuspectRefused means that a request that breaks endpoints was held back.
	SuspectRefused Number = 1005
	// AnswerInvalid means that an answer was not whole or not the call's own.
	AnswerInvalid Number = 1006
	// OutcomeQueried means that a node asked what became of an attempt.
	OutcomeQueried Number = 1007
	// UnauthenticatedCallRefused means that a call came from outside the fleet.
	UnauthenticatedCallRefused Number = 1008
	// EndpointStalled means that the local endpoint gives no sign of life.
	EndpointStalled Number = 1009
	// EndpointRecovered means that the local endpoint answers again.
	EndpointRecovered Number = 1010
	// EndpointFailed means that the local endpoint answered a call with a failure.
	EndpointFailed Number = 1011
	// OutboundCallRefused means that a call of the local endpoint got an answer in place
	// of the called endpoint's own.
	OutboundCallRefused Number = 1012
	// OutboundCallFailed means that a call of the local endpoint was answered by a
	// failure of the called endpoint.
	OutboundCallFailed Number = 1013
	// EndpointAborting means that the local endpoint breaks off all calls.
	EndpointAborting Number = 1014
	// PanicRecovered means that the node's own code failed.
	PanicRecovered Number = 1015
	// AnswerOversized means that an answer of the local endpoint had more bytes than
	// allowed.
	AnswerOversized Number = 1016
)

// trafficEvents holds the definitions numbered from 1000.
var trafficEvents = []Definition{
	{Number: CallRefused, Name: "call_refused", Level: zerolog.InfoLevel, Meaning: "A caller got an answer in place of the endpoint's own. The fields route, kind, ran and detail say why."},
	{Number: CallRetried, Name: "call_retried", Level: zerolog.DebugLevel, Meaning: "A failed attempt is followed by another one at another endpoint."},
	{Number: EndpointCrashed, Name: "endpoint_crashed", Level: zerolog.WarnLevel, Meaning: "The local endpoint broke down while it ran the request with this fingerprint, as did others that ran then. A fingerprint that comes with several crashes is the likely cause; on the platform the field crash tells them apart. Look at the endpoint's own log."},
	{Number: ConnectionSilent, Name: "connection_silent", Level: zerolog.WarnLevel, Meaning: "A connection to another node, or to the local endpoint, showed no progress; it and its idle kin were dropped."},
	{Number: SuspectRefused, Name: "suspect_refused", Level: zerolog.WarnLevel, Meaning: "A request that broke endpoints was held back."},
	{Number: AnswerInvalid, Name: "answer_broken", Level: zerolog.WarnLevel, Meaning: "An answer was truncated or not the answer to its call; it was not passed on as whole."},
	{Number: OutcomeQueried, Name: "outcome_asked", Level: zerolog.InfoLevel, Meaning: "After a lost answer a node asked what became of its non-idempotent call."},
	{Number: EndpointStalled, Name: "endpoint_stalled", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The local endpoint accepts connections and answers nothing. The node takes no calls for it until it answers a probe."},
	{Number: EndpointRecovered, Name: "endpoint_back", Level: zerolog.InfoLevel, RateLimitExempt: true, Meaning: "The local endpoint answers again."},
	{Number: UnauthenticatedCallRefused, Name: "stranger_refused", Level: zerolog.WarnLevel, Meaning: "The peer address got a call without the proof of the fleet key. Check fleetKey in the settings of all nodes."},
	{Number: EndpointFailed, Name: "endpoint_failed", Level: zerolog.InfoLevel, Meaning: "The local endpoint answered a call with a failure of its own after the time in the field took. If calls that it made failed meanwhile (1012 and 1013 at the same VM), they are the likely cause."},
	{Number: OutboundCallRefused, Name: "own_call_refused", Level: zerolog.InfoLevel, Meaning: "A call of the local endpoint got an answer in place of the called endpoint's own. The fields route, kind, ran and detail say why. The request that the endpoint made it for has probably failed."},
	{Number: OutboundCallFailed, Name: "own_call_failed", Level: zerolog.InfoLevel, Meaning: "A call of the local endpoint was answered by a failure of the called endpoint, which has event 1011 under the same correlation. The request that the endpoint made it for has probably failed."},
	{Number: EndpointAborting, Name: "endpoint_broken", Level: zerolog.WarnLevel, RateLimitExempt: true, Meaning: "The local endpoint broke off three calls in a row, or can't be connected to. The node refuses calls for it but single ones, until one of these is answered (1010). The field error is that of the last call."},
	{Number: AnswerOversized, Name: "answer_oversized", Level: zerolog.WarnLevel, Meaning: "The local endpoint sent more than max_bytes as the head or the body of an answer, as the field part says. The connection was closed at once; the fate of the call is unknown. If the answer was sound, raise answerHeadBytes."},
	{Number: PanicRecovered, Name: "work_panicked", Level: zerolog.ErrorLevel, Meaning: "The node's own code failed, which is a fault of the program: report it with the fields cause and stack. A call that it handled ends with an unknown fate; a background task starts anew after a second. The process goes on."},
}

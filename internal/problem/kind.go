// Package problem defines the closed list of error kinds and the answer that a
// caller gets for each of them.
package problem

// Kind is the reason why a node answered instead of the endpoint.
type Kind uint8

// The closed list of kinds. New kinds are added at the end; numbers are never reused.
const (
	// KindNone means that the answer is the endpoint's own.
	KindNone Kind = iota
	// KindNoRoute means that no route of the catalogue matches the call.
	KindNoRoute
	// KindBadCall means that the call is malformed.
	KindBadCall
	// KindOverloaded means that the call was shed in favour of more important work.
	KindOverloaded
	// KindOverloadedEverywhere means that every available endpoint sheds calls of this
	// importance.
	KindOverloadedEverywhere
	// KindDeadline means that the remaining time is too short for the work.
	KindDeadline
	// KindTimeout means that the deadline expired while the call was running.
	KindTimeout
	// KindUnreachable means that no endpoint could be reached.
	KindUnreachable
	// KindConnectionLost means that the connection broke after bytes of the
	// call had been written.
	KindConnectionLost
	// KindAnswerInvalid means that an answer was truncated, stalled or belonged to
	// another call.
	KindAnswerInvalid
	// KindRetryBudget means that the root request has no retries left.
	KindRetryBudget
	// KindLeaving means that the node is stopping and accepts no new work.
	KindLeaving
	// KindHomeLost means that the process that knew whether the call was run has
	// ended.
	KindHomeLost
	// KindHomeUnreachable means that the process that knows whether the call was run
	// can't be reached at present.
	KindHomeUnreachable
	// KindTokenExpired means that the lifetime of the idempotency token has expired.
	KindTokenExpired
	// KindRecordsFull means that no further non-idempotent call can be recorded.
	KindRecordsFull
	// KindSuspect means that the request is refused because endpoints that ran it
	// crashed.
	KindSuspect
	// KindNotReady means that the node has no catalogue in force yet.
	KindNotReady
	// KindCancelled means that the caller disconnected or cancelled the call.
	KindCancelled
	// KindUnknownParent means that an endpoint's outgoing call names a parent call
	// that is not running.
	KindUnknownParent
	// KindBodyTooLarge means that the request body exceeds the route's limit.
	KindBodyTooLarge
	// KindKeyReused means that an idempotency key was used for two different requests.
	KindKeyReused
	// KindInternal means that the node failed.
	KindInternal
	// KindEndpointRefused means that the endpoint refused the call before starting
	// it.
	KindEndpointRefused
	// KindNoMemory means that a node has no memory to hold the request.
	KindNoMemory

	kindCount
)

// Execution says whether a call was run by an endpoint.
type Execution uint8

// The values of Execution.
const (
	// NotExecuted means that the call was not run and never will be.
	NotExecuted Execution = iota
	// Executed means that the call was run.
	Executed
	// ExecutionUnknown means that it can't be determined whether the call was run.
	ExecutionUnknown
)

// String returns the value in answers to callers.
func (e Execution) String() string {
	switch e {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseExecution parses the value in answers to callers. Any other text is
// ExecutionUnknown.
func ParseExecution(word string) Execution {
	switch word {
	case "no":
		return NotExecuted
	case "yes":
		return Executed
	default:
		return ExecutionUnknown
	}
}

// Kinds returns every kind but KindNone, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := KindNone + 1; k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

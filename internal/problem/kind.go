// Package problem is the closed list of error kinds and the one table from a
// kind to the answer that a caller gets.
package problem

// Kind names why galenacart answered in place of the endpoint.
type Kind uint8

// The closed list of kinds. New kinds go to the end; numbers are never reused.
const (
	// KindNone means that the answer is the endpoint's own.
	KindNone Kind = iota
	// KindNoRoute means that no route of the catalogue matches the call.
	KindNoRoute
	// KindBadCall means that the call itself can't be read.
	KindBadCall
	// KindOverloaded means that the call was shed to keep more important work.
	KindOverloaded
	// KindOverloadedEverywhere means that every endpoint that could take the
	// call sheds calls of its importance.
	KindOverloadedEverywhere
	// KindDeadline means that the remaining time can't cover the work.
	KindDeadline
	// KindTimeout means that the deadline passed while the call was running.
	KindTimeout
	// KindUnreachable means that no endpoint could be reached.
	KindUnreachable
	// KindConnectionLost means that the connection broke after bytes of the
	// call had been written.
	KindConnectionLost
	// KindAnswerInvalid means that an answer was truncated, stalled or not the
	// answer to this call.
	KindAnswerInvalid
	// KindRetryBudget means that the root request has no retries left.
	KindRetryBudget
	// KindLeaving means that the node is stopping and takes no new work.
	KindLeaving
	// KindHomeLost means that the process that could tell whether the call was
	// run is gone.
	KindHomeLost
	// KindHomeUnreachable means that the process that can tell whether the call
	// was run can't be reached now.
	KindHomeUnreachable
	// KindTokenExpired means that the idempotency token outlived its lifetime.
	KindTokenExpired
	// KindRecordsFull means that no further non-idempotent call can be recorded.
	KindRecordsFull
	// KindSuspect means that the request is held back because endpoints that ran
	// it crashed.
	KindSuspect
	// KindNotReady means that the node has no catalogue in force yet.
	KindNotReady
	// KindCancelled means that the caller went away.
	KindCancelled
	// KindUnknownParent means that an endpoint's outgoing call names no call
	// that is running.
	KindUnknownParent
	// KindBodyTooLarge means that the body is over the route's limit.
	KindBodyTooLarge
	// KindKeyReused means that an idempotency key came again with another request.
	KindKeyReused
	// KindInternal means that the node itself failed.
	KindInternal
	// KindEndpointRefused means that the endpoint itself refused the call before
	// starting it.
	KindEndpointRefused

	kindCount
)

// Execution says whether a call was run by an endpoint.
type Execution uint8

// The three words for the fate of a call.
const (
	// NotExecuted means that the call was not run and never will be.
	NotExecuted Execution = iota
	// Executed means that the call was run.
	Executed
	// ExecutionUnknown means that nobody can tell.
	ExecutionUnknown
)

// String returns the word that callers read.
func (r Execution) String() string {
	switch r {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}

// ParseExecution reads the word that callers read. Any other word is RanUnknown.
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

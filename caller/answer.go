package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers that clients set and nodes answer with.
const (
	headerKind       = "Galenacart-Kind"
	headerExecution  = "Galenacart-Ran"
	headerRetryAfter = "Retry-After"
	headerKey        = "Idempotency-Key"
)

// Execution is the execution state of a request.
type Execution string

// The values of Execution.
const (
	// NotExecuted means that the request was not run and never will be.
	NotExecuted Execution = "no"
	// Executed means that the request was run.
	Executed Execution = "yes"
	// ExecutionUnknown means that it is not known whether the request was run.
	ExecutionUnknown Execution = "unknown"
)

// KindNone is the kind of the endpoint's own answers. The other kinds are in
// docs/ERRORS.md.
const KindNone = "none"

// The error kinds with which the node that issued a token confirms that it starts
// no request with that token any more.
const (
	kindTokenExpired         = "token_expired"
	kindOverloaded           = "overloaded"
	kindOverloadedEverywhere = "overloaded_everywhere"
	kindUnreachable          = "unreachable"
	kindDeadline             = "deadline"
	kindRetryBudget          = "retry_budget"
)

// Answer is the final answer to a request.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's headers.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// Kind is the error kind of an answer that a node generated, or KindNone.
	Kind string
	// Execution says whether the request was run.
	Execution Execution
	// Attempts counts how often the request was sent.
	Attempts int
}

// FromEndpoint reports whether the answer is the endpoint's own.
func (a *Answer) FromEndpoint() bool {
	return a.Kind == KindNone
}

func newAnswer(status int, h http.Header, body []byte) *Answer {
	a := &Answer{Status: status, Header: h, Body: body, Kind: KindNone, Execution: Executed}
	if kind := h.Get(headerKind); kind != "" {
		a.Kind = kind
		a.Execution = parseExecution(h.Get(headerExecution))
	}
	return a
}

func parseExecution(value string) Execution {
	switch e := Execution(value); e {
	case NotExecuted, Executed:
		return e
	default:
		return ExecutionUnknown
	}
}

// retryable reports whether another attempt may succeed: the answer carries
// Retry-After, or the token expired.
func (a *Answer) retryable() bool {
	if a.FromEndpoint() {
		return a.Status == http.StatusServiceUnavailable && a.Header.Get(headerRetryAfter) != ""
	}
	return a.Header.Get(headerRetryAfter) != "" || a.Kind == kindTokenExpired
}

// invalidatesToken reports whether the answer proves that no request runs with the
// token any more, whatever the outcome of earlier attempts. Only the node that issued
// the token answers with these kinds.
func (a *Answer) invalidatesToken() bool {
	switch a.Kind {
	case kindTokenExpired, kindOverloaded, kindOverloadedEverywhere, kindUnreachable, kindDeadline, kindRetryBudget:
		return true
	default:
		return false
	}
}

// retryAfter returns the wait that the answer's Retry-After header requests, or 0.
func (a *Answer) retryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get(headerRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// NoAnswerError means that no attempt of a request was answered.
type NoAnswerError struct {
	// Attempts counts how often the request was sent.
	Attempts int
	// Execution is NotExecuted when the request was never sent, and ExecutionUnknown
	// otherwise.
	Execution Execution
	// Cause is the error of the last attempt.
	Cause error
}

// Error returns the number of attempts, the execution state and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("caller: no answer after %d attempts (executed: %s): %v", e.Attempts, e.Execution, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

package caller

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Headers of answers that are not the endpoint's own.
const (
	headerKind       = "Galenacart-Kind"
	headerRan        = "Galenacart-Ran"
	headerRetryAfter = "Retry-After"
	headerKey        = "Idempotency-Key"
)

// Execution says whether a request was run.
type Execution string

// The three words for the fate of a request.
const (
	// NotExecuted means that the request was not run and never will be.
	NotExecuted Execution = "no"
	// Executed means that the request was run.
	Executed Execution = "yes"
	// ExecutionUnknown means that nobody can tell.
	ExecutionUnknown Execution = "unknown"
)

// KindNone is the kind of the endpoint's own answers. The other kinds are in
// docs/ERRORS.md.
const KindNone = "none"

// The kinds by which the home of a token proves that the token starts nothing
// any more.
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
	// Body is the whole body.
	Body []byte
	// Kind names why a node answered in place of the endpoint, or is KindNone.
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
		a.Execution = parseRan(h.Get(headerRan))
	}
	return a
}

func parseRan(word string) Execution {
	switch r := Execution(word); r {
	case NotExecuted, Executed:
		return r
	default:
		return ExecutionUnknown
	}
}

// resendable reports whether another send may bring a better answer. Only a
// node's answers that carry Retry-After ask for one.
func (a *Answer) resendable() bool {
	if a.FromEndpoint() {
		return a.Status == http.StatusServiceUnavailable && a.Header.Get(headerRetryAfter) != ""
	}
	return a.Header.Get(headerRetryAfter) != "" || a.Kind == kindTokenExpired
}

// spent reports whether the answer comes from the home of the token and proves
// that the token starts nothing any more, whatever became of earlier sends.
func (a *Answer) spent() bool {
	switch a.Kind {
	case kindTokenExpired, kindOverloaded, kindOverloadedEverywhere, kindUnreachable, kindDeadline, kindRetryBudget:
		return true
	default:
		return false
	}
}

// retryAfter returns the wait that the answer asks for, or 0.
func (a *Answer) retryAfter() time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get(headerRetryAfter))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// NoAnswerError means that no send of a request was answered.
type NoAnswerError struct {
	// Attempts counts how often the request was sent.
	Attempts int
	// Execution is RanNo when the request never left the caller, and else RanUnknown.
	Execution Execution
	// Cause is the error of the last send.
	Cause error
}

// Error returns the count of sends, the fate and the cause.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("caller: no answer after %d sends (ran: %s): %v", e.Attempts, e.Execution, e.Cause)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error {
	return e.Cause
}

package problem

import "net/http"

// Definition describes the answer for one kind.
type Definition struct {
	// Name is the stable name in the answer's "kind" field.
	Name string
	// Status is the HTTP status code.
	Status int
	// Title is the short text for a person.
	Title string
	// Retryable says whether the same request may be sent again.
	Retryable bool
	// RetryAfterSeconds is the Retry-After header; 0 sends none.
	RetryAfterSeconds int
}

// definitions holds the definition of each kind.
var definitions = [kindCount]Definition{
	KindNone:                 {Name: "none", Status: http.StatusOK, Title: "The endpoint's own answer"},
	KindNoRoute:              {Name: "no_route", Status: http.StatusNotFound, Title: "No route of the catalogue matches"},
	KindBadCall:              {Name: "bad_call", Status: http.StatusBadRequest, Title: "The call can't be read"},
	KindOverloaded:           {Name: "overloaded", Status: http.StatusServiceUnavailable, Title: "Shed to keep more important work", Retryable: true, RetryAfterSeconds: 1},
	KindOverloadedEverywhere: {Name: "overloaded_everywhere", Status: http.StatusServiceUnavailable, Title: "Every endpoint sheds calls of this importance", Retryable: true, RetryAfterSeconds: 2},
	KindDeadline:             {Name: "deadline", Status: http.StatusGatewayTimeout, Title: "The remaining time can't cover the work", Retryable: true, RetryAfterSeconds: 1},
	KindTimeout:              {Name: "timeout", Status: http.StatusGatewayTimeout, Title: "The deadline passed while the call was running", Retryable: true, RetryAfterSeconds: 1},
	KindUnreachable:          {Name: "unreachable", Status: http.StatusBadGateway, Title: "No endpoint could be reached", Retryable: true, RetryAfterSeconds: 1},
	KindConnectionLost:       {Name: "connection_lost", Status: http.StatusBadGateway, Title: "The connection broke during the call", Retryable: true, RetryAfterSeconds: 1},
	KindAnswerInvalid:        {Name: "answer_broken", Status: http.StatusBadGateway, Title: "The answer was not whole", Retryable: true, RetryAfterSeconds: 1},
	KindRetryBudget:          {Name: "retry_budget", Status: http.StatusServiceUnavailable, Title: "The request has no retries left", RetryAfterSeconds: 2},
	KindLeaving:              {Name: "leaving", Status: http.StatusServiceUnavailable, Title: "The node is stopping", Retryable: true, RetryAfterSeconds: 1},
	KindHomeLost:             {Name: "home_gone", Status: http.StatusConflict, Title: "The process that knew the call's outcome is gone"},
	KindHomeUnreachable:      {Name: "home_unreachable", Status: http.StatusServiceUnavailable, Title: "The process that knows the call's outcome can't be reached", Retryable: true, RetryAfterSeconds: 2},
	KindTokenExpired:         {Name: "token_expired", Status: http.StatusGone, Title: "The idempotency token has expired"},
	KindRecordsFull:          {Name: "records_full", Status: http.StatusServiceUnavailable, Title: "No further non-idempotent call can be recorded", Retryable: true, RetryAfterSeconds: 2},
	KindSuspect:              {Name: "suspect", Status: http.StatusUnprocessableEntity, Title: "Endpoints that ran this request crashed"},
	KindNotReady:             {Name: "not_ready", Status: http.StatusServiceUnavailable, Title: "No catalogue is in force yet", Retryable: true, RetryAfterSeconds: 1},
	KindCancelled:            {Name: "cancelled", Status: 499, Title: "The caller went away"},
	KindUnknownParent:        {Name: "unknown_parent", Status: http.StatusBadRequest, Title: "The parent call is not running on this node"},
	KindBodyTooLarge:         {Name: "body_too_large", Status: http.StatusRequestEntityTooLarge, Title: "The body is over the route's limit"},
	KindKeyReused:            {Name: "key_reused", Status: http.StatusUnprocessableEntity, Title: "The idempotency key belongs to another request"},
	KindEndpointRefused:      {Name: "endpoint_refused", Status: http.StatusServiceUnavailable, Title: "The endpoint refused before starting", Retryable: true, RetryAfterSeconds: 1},
	KindNoMemory:             {Name: "no_memory", Status: http.StatusServiceUnavailable, Title: "The node has no memory to hold the request", Retryable: true, RetryAfterSeconds: 1},
	KindInternal:             {Name: "internal", Status: http.StatusInternalServerError, Title: "The node failed"},
}

// Definition returns the definition of k, or that of KindInternal for an unknown
// kind.
func (k Kind) Definition() Definition {
	if k >= kindCount {
		return definitions[KindInternal]
	}
	return definitions[k]
}

// String returns the stable name of k.
func (k Kind) String() string {
	return k.Definition().Name
}

// ParseKind returns the kind with the given stable name, and false when there is none.
func ParseKind(name string) (Kind, bool) {
	for k := KindNone; k < kindCount; k++ {
		if definitions[k].Name == name {
			return k, true
		}
	}
	return KindInternal, false
}

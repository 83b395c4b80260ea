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
	KindNone:                 {Name: "none", Status: http.StatusOK, Title: "The endpoint answered"},
	KindNoRoute:              {Name: "no_route", Status: http.StatusNotFound, Title: "No route of the catalogue matches the call; check its method, host and path"},
	KindBadCall:              {Name: "bad_call", Status: http.StatusBadRequest, Title: "The call is malformed; correct it as the detail says"},
	KindOverloaded:           {Name: "overloaded", Status: http.StatusServiceUnavailable, Title: "Shed to keep more important work", Retryable: true, RetryAfterSeconds: 1},
	KindOverloadedEverywhere: {Name: "overloaded_everywhere", Status: http.StatusServiceUnavailable, Title: "Every available endpoint sheds calls of this importance; send the call again later", Retryable: true, RetryAfterSeconds: 2},
	KindDeadline:             {Name: "deadline", Status: http.StatusGatewayTimeout, Title: "The remaining time is too short for the work; send the call again with more time", Retryable: true, RetryAfterSeconds: 1},
	KindTimeout:              {Name: "timeout", Status: http.StatusGatewayTimeout, Title: "The deadline expired while the call was running; check how long the endpoint takes", Retryable: true, RetryAfterSeconds: 1},
	KindUnreachable:          {Name: "unreachable", Status: http.StatusBadGateway, Title: "No endpoint of the service could be reached; check the endpoints and the network", Retryable: true, RetryAfterSeconds: 1},
	KindConnectionLost:       {Name: "connection_lost", Status: http.StatusBadGateway, Title: "The connection was lost during the call; check the endpoint and the network", Retryable: true, RetryAfterSeconds: 1},
	KindAnswerInvalid:        {Name: "answer_broken", Status: http.StatusBadGateway, Title: "The answer was truncated, stalled or belonged to another call; check the endpoint", Retryable: true, RetryAfterSeconds: 1},
	KindRetryBudget:          {Name: "retry_budget", Status: http.StatusServiceUnavailable, Title: "The retry budget of the request is used up; check the events of the request for the failed attempts", RetryAfterSeconds: 2},
	KindLeaving:              {Name: "leaving", Status: http.StatusServiceUnavailable, Title: "The node is stopping and accepts no new work; send the call again later", Retryable: true, RetryAfterSeconds: 1},
	KindHomeLost:             {Name: "home_gone", Status: http.StatusConflict, Title: "The process that knew the outcome of the call has ended; check whether the call took effect"},
	KindHomeUnreachable:      {Name: "home_unreachable", Status: http.StatusServiceUnavailable, Title: "The process that knows the outcome of the call can't be reached; send the call again later", Retryable: true, RetryAfterSeconds: 2},
	KindTokenExpired:         {Name: "token_expired", Status: http.StatusGone, Title: "The idempotency token has expired; check whether the call took effect, then get a new token"},
	KindRecordsFull:          {Name: "records_full", Status: http.StatusServiceUnavailable, Title: "The node can't record further non-idempotent calls; send the call again later", Retryable: true, RetryAfterSeconds: 2},
	KindSuspect:              {Name: "suspect", Status: http.StatusUnprocessableEntity, Title: "The request is refused because endpoints that ran it crashed; fix the request or the endpoint"},
	KindNotReady:             {Name: "not_ready", Status: http.StatusServiceUnavailable, Title: "The node has no catalogue in force yet; send the call again later", Retryable: true, RetryAfterSeconds: 1},
	KindCancelled:            {Name: "cancelled", Status: 499, Title: "The caller disconnected or cancelled the call"},
	KindUnknownParent:        {Name: "unknown_parent", Status: http.StatusBadRequest, Title: "The parent call is not running on this node; check the parent ID that the endpoint sends"},
	KindBodyTooLarge:         {Name: "body_too_large", Status: http.StatusRequestEntityTooLarge, Title: "The request body exceeds the route's limit; send a smaller one"},
	KindKeyReused:            {Name: "key_reused", Status: http.StatusUnprocessableEntity, Title: "The idempotency key was used for another request; use a new key"},
	KindEndpointRefused:      {Name: "endpoint_refused", Status: http.StatusServiceUnavailable, Title: "The endpoint refused the call before starting it; send it again later", Retryable: true, RetryAfterSeconds: 1},
	KindInternal:             {Name: "internal", Status: http.StatusInternalServerError, Title: "The node failed; see the detail and the events of the request"},
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

package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Headers of answers that the node gives instead of the endpoint.
const (
	// HeaderKind carries the stable name of the kind.
	HeaderKind = "Galenacart-Kind"
	// HeaderRan says whether an endpoint ran the call: "no", "yes" or "unknown".
	HeaderRan = "Galenacart-Ran"
	// ContentType is the media type of the body.
	ContentType = "application/problem+json"
)

// Error is a failed call: its kind, whether it was run, and the cause.
type Error struct {
	// Kind selects the Definition.
	Kind Kind
	// Execution says whether an endpoint ran the call.
	Execution Execution
	// Detail explains the cause to a person.
	Detail string
}

// New returns an Error.
func New(k Kind, execution Execution, format string, args ...any) *Error {
	return &Error{Kind: k, Execution: execution, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind, whether the call was run, and the detail.
func (e *Error) Error() string {
	return e.Kind.String() + " (ran: " + e.Execution.String() + "): " + e.Detail
}

// Body is the JSON body of an answer, in the format of RFC 9457.
type Body struct {
	// Type is a URI reference that names the kind.
	Type string `json:"type"`
	// Title is the short text for a person.
	Title string `json:"title"`
	// Status repeats the HTTP status code.
	Status int `json:"status"`
	// Detail explains the cause.
	Detail string `json:"detail,omitempty"`
	// Kind is the stable name of the kind.
	Kind string `json:"kind"`
	// Ran is "no", "yes" or "unknown".
	Ran string `json:"ran"`
	// Retryable says whether the same request may be sent again.
	Retryable bool `json:"retryable"`
	// Correlation is the ID under which events of the request are logged.
	Correlation string `json:"correlation,omitempty"`
}

// Write sends e as an HTTP response. correlation may be empty.
func Write(w http.ResponseWriter, e *Error, correlation string) {
	definition := e.Kind.Definition()
	body := Body{
		Type:        "urn:galenacart:problem:" + definition.Name,
		Title:       definition.Title,
		Status:      definition.Status,
		Detail:      e.Detail,
		Kind:        definition.Name,
		Ran:         e.Execution.String(),
		Retryable:   definition.Retryable,
		Correlation: correlation,
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(encoded)))
	h.Set(HeaderKind, definition.Name)
	h.Set(HeaderRan, e.Execution.String())
	if definition.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(definition.RetryAfterSeconds))
	}
	w.WriteHeader(definition.Status)
	_, _ = w.Write(encoded) // on an error the caller has disconnected; nothing is left to do
}

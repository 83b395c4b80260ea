package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Headers of answers that are not the endpoint's own.
const (
	// HeaderKind carries the stable name of the kind.
	HeaderKind = "Galenacart-Kind"
	// HeaderRan carries "no", "yes" or "unknown".
	HeaderRan = "Galenacart-Ran"
	// ContentType is the media type of the body.
	ContentType = "application/problem+json"
)

// Error is a failed call: its kind, its fate and the cause.
type Error struct {
	// Kind selects the row of the table.
	Kind Kind
	// Execution says whether an endpoint ran the call.
	Execution Execution
	// Detail explains the cause to a person.
	Detail string
}

// New returns an Error.
func New(k Kind, ran Execution, format string, args ...any) *Error {
	return &Error{Kind: k, Execution: ran, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the kind, the fate and the detail.
func (e *Error) Error() string {
	return e.Kind.String() + " (ran: " + e.Execution.String() + "): " + e.Detail
}

// Body is the JSON form of an answer, after RFC 9457.
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

// Write sends the answer to e. correlation may be empty.
func Write(w http.ResponseWriter, e *Error, correlation string) {
	row := e.Kind.Definition()
	body := Body{
		Type:        "urn:galenacart:problem:" + row.Name,
		Title:       row.Title,
		Status:      row.Status,
		Detail:      e.Detail,
		Kind:        row.Name,
		Ran:         e.Execution.String(),
		Retryable:   row.Retryable,
		Correlation: correlation,
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		encoded = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(encoded)))
	h.Set(HeaderKind, row.Name)
	h.Set(HeaderRan, e.Execution.String())
	if row.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(row.RetryAfterSeconds))
	}
	w.WriteHeader(row.Status)
	_, _ = w.Write(encoded) // the caller may be gone; there is nobody left to tell
}

package platform

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Reason is why a read returned no value.
type Reason uint8

// The reasons.
const (
	// ReasonInvalidAnswer means that the answer is invalid.
	ReasonInvalidAnswer Reason = iota
	// ReasonUnreachable means that no complete answer was received.
	ReasonUnreachable
	// ReasonUnavailable means that the platform answered that it is unavailable.
	ReasonUnavailable
	// ReasonRateLimited means that the platform refused the read by its rate limit.
	ReasonRateLimited
	// ReasonNotFound means that the key has no value.
	ReasonNotFound
	// ReasonUnchanged means that a watch ended without a change.
	ReasonUnchanged
	// ReasonNoConnection means that the request was not sent, so that it does not
	// count against the rate limit.
	ReasonNoConnection
)

var reasonNames = [...]string{"broken", "unreachable", "down", "over_limit", "not_found", "unchanged", "no_connection"}

// String returns the name of the reason.
func (r Reason) String() string {
	return reasonNames[r]
}

// shouldFailOver reports whether the read may succeed at another address of the
// platform.
func (r Reason) shouldFailOver() bool {
	return r == ReasonUnreachable || r == ReasonUnavailable || r == ReasonNoConnection
}

func reasonOfStatus(status int) Reason {
	switch status {
	case http.StatusNotFound:
		return ReasonNotFound
	case http.StatusNotModified:
		return ReasonUnchanged
	case http.StatusTooManyRequests:
		return ReasonRateLimited
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return ReasonUnavailable
	default:
		return ReasonInvalidAnswer
	}
}

// reasonOfError distinguishes a request that was not sent from one without a
// complete answer.
func reasonOfError(err error) Reason {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ReasonNoConnection
	}
	return ReasonUnreachable
}

// ReadError is the error of a read that returned no value.
type ReadError struct {
	// Reason is the kind of the failure.
	Reason Reason
	// Revision is the key's revision if the answer contained one, else 0.
	Revision uint64
	// Cause is the underlying error.
	Cause error
}

// Error returns the reason and the cause.
func (e *ReadError) Error() string {
	return e.Reason.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Cause
}

// ReasonOf returns the reason of a Client's error.
func ReasonOf(err error) Reason {
	var readErr *ReadError
	if errors.As(err, &readErr) {
		return readErr.Reason
	}
	return ReasonInvalidAnswer
}

package platform

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// Reason says why a read gave no value.
type Reason uint8

// The reasons.
const (
	// ReasonInvalidAnswer means that the answer can't be used.
	ReasonInvalidAnswer Reason = iota
	// ReasonUnreachable means that no whole answer came.
	ReasonUnreachable
	// ReasonUnavailable means that the platform answers but can't read.
	ReasonUnavailable
	// ReasonRateLimited means that the platform refused the read for its rate.
	ReasonRateLimited
	// ReasonNotFound means that the key has no value.
	ReasonNotFound
	// ReasonUnchanged means that a watch ended without a change.
	ReasonUnchanged
	// ReasonNoConnection means that the platform did not see the read.
	ReasonNoConnection
)

var reasonNames = [...]string{"broken", "unreachable", "down", "over_limit", "not_found", "unchanged", "no_connection"}

// String returns the name of the reason.
func (r Reason) String() string {
	return reasonNames[r]
}

// tryOther reports whether another address of the platform may do better.
func (r Reason) tryOther() bool {
	return r == ReasonUnreachable || r == ReasonUnavailable || r == ReasonNoConnection
}

func reasonOf(status int) Reason {
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

// reasonOfError tells a read that never left from one without a whole answer.
func reasonOfError(err error) Reason {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return ReasonNoConnection
	}
	return ReasonUnreachable
}

// ReadError is a read that gave no value.
type ReadError struct {
	// Reason is the closed kind of the failure.
	Reason Reason
	// Revision is the key's revision if the answer named one, else 0.
	Revision uint64
	// Cause is the error behind it.
	Cause error
}

// Error returns the reason and the cause.
func (f *ReadError) Error() string {
	return f.Reason.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *ReadError) Unwrap() error {
	return f.Cause
}

// ReasonOf returns the reason of an error of Client.
func ReasonOf(err error) Reason {
	var f *ReadError
	if errors.As(err, &f) {
		return f.Reason
	}
	return ReasonInvalidAnswer
}

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
	// ReasonBroken means that the answer can't be used.
	ReasonBroken Reason = iota
	// ReasonUnreachable means that no whole answer came.
	ReasonUnreachable
	// ReasonDown means that the platform answers but can't read.
	ReasonDown
	// ReasonOverLimit means that the platform refused the read for its rate.
	ReasonOverLimit
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
	return r == ReasonUnreachable || r == ReasonDown || r == ReasonNoConnection
}

func reasonOf(status int) Reason {
	switch status {
	case http.StatusNotFound:
		return ReasonNotFound
	case http.StatusNotModified:
		return ReasonUnchanged
	case http.StatusTooManyRequests:
		return ReasonOverLimit
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return ReasonDown
	default:
		return ReasonBroken
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

// Failure is a read that gave no value.
type Failure struct {
	// Reason is the closed kind of the failure.
	Reason Reason
	// Revision is the key's revision if the answer named one, else 0.
	Revision uint64
	// Cause is the error behind it.
	Cause error
}

// Error returns the reason and the cause.
func (f *Failure) Error() string {
	return f.Reason.String() + ": " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// ReasonOf returns the reason of an error of Client.
func ReasonOf(err error) Reason {
	var f *Failure
	if errors.As(err, &f) {
		return f.Reason
	}
	return ReasonBroken
}

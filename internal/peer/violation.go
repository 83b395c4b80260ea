package peer

import "fmt"

// Fault is the reason for which a link is refused or closed because of the peer.
type Fault uint8

// The faults.
const (
	// FaultMalformed is a frame that is not a valid message.
	FaultMalformed Fault = iota
	// FaultRateExceeded is a peer that exceeds the link's rate of messages or bytes.
	FaultRateExceeded
	// FaultStalled is a peer that does not receive or send messages.
	FaultStalled
	// FaultAuthentication is a peer with another fleet key.
	FaultAuthentication
	// FaultIdentity is a peer with an unexpected identity or protocol version.
	FaultIdentity
	// FaultStaleIncarnation is a peer whose incarnation is not the VM's newest.
	FaultStaleIncarnation
	// FaultTooManyLinks is a link that exceeds the limit of links or handshakes.
	FaultTooManyLinks
)

var faultNames = [...]string{"garbage", "flood", "stall", "proof", "identity", "incarnation", "crowded"}

// String returns the name of the fault.
func (f Fault) String() string {
	return faultNames[f]
}

// Violation is the error with which a link is refused or closed for a fault of
// the peer.
type Violation struct {
	// Fault is the kind of the violation.
	Fault Fault
	// Detail describes the violation.
	Detail string
}

// Error returns the fault and its detail.
func (v *Violation) Error() string {
	return v.Fault.String() + ": " + v.Detail
}

func violation(f Fault, format string, values ...any) *Violation {
	return &Violation{Fault: f, Detail: fmt.Sprintf(format, values...)}
}

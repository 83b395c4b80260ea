package peer

import "fmt"

// Fault is the closed list of reasons for which a link is refused or closed
// because of the other side.
type Fault uint8

// The faults.
const (
	// FaultMalformed is a frame that is no message.
	FaultMalformed Fault = iota
	// FaultRateExceeded is more than the link's rate of messages or bytes.
	FaultRateExceeded
	// FaultStalled is a peer that takes or sends nothing.
	FaultStalled
	// FaultAuthentication is a peer that does not know the fleet's key.
	FaultAuthentication
	// FaultIdentity is a peer that is not the VM it should be.
	FaultIdentity
	// FaultStaleIncarnation is a peer whose incarnation is not the VM's newest.
	FaultStaleIncarnation
	// FaultTooManyLinks is a link beyond the bound on links.
	FaultTooManyLinks
)

var faultNames = [...]string{"garbage", "flood", "stall", "proof", "identity", "incarnation", "crowded"}

// String returns the name of the fault.
func (f Fault) String() string {
	return faultNames[f]
}

// Violation is the error that ends a link for a fault of the other side.
type Violation struct {
	// Fault is the closed kind.
	Fault Fault
	// Detail says what was seen.
	Detail string
}

// Error returns the fault and its detail.
func (v *Violation) Error() string {
	return v.Fault.String() + ": " + v.Detail
}

func violation(f Fault, format string, values ...any) *Violation {
	return &Violation{Fault: f, Detail: fmt.Sprintf(format, values...)}
}

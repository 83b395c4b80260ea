package retry

// Fate is what is known of a failed attempt.
type Fate uint8

// The fates of a failed attempt.
const (
	// FateNotSent means that no byte of the call left the node.
	FateNotSent Fate = iota
	// FateNotServing means that the other node refused because it is leaving, or
	// because it has just started and has no catalogue in force yet.
	FateNotServing
	// FateShed means that the other node refused for lack of capacity. Its
	// endpoint never saw the call.
	FateShed
	// FateRefused means that the other node or its endpoint refused before
	// starting the call.
	FateRefused
	// FateRan means that the endpoint ran the call and its answer is unusable.
	FateRan
	// FateUnknown means that nobody can tell whether the call was started.
	FateUnknown
)

// Step says what to do after a failed attempt.
type Step uint8

// The steps after a failed attempt.
const (
	// StepStop gives up.
	StepStop Step = iota
	// StepFree tries elsewhere without a token: nothing reached an endpoint.
	StepFree
	// StepCharge tries elsewhere if pool and brake allow one more attempt.
	StepCharge
)

// Next returns the step after a failed attempt. A non-idempotent call goes on
// only on proof that it was not started.
func Next(f Fate, idempotent bool) Step {
	switch f {
	case FateNotSent, FateNotServing:
		return StepFree
	case FateShed, FateRefused:
		return StepCharge
	default:
		if idempotent {
			return StepCharge
		}
		return StepStop
	}
}

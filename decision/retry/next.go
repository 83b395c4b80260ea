package retry

// Outcome is what is known of a failed attempt.
type Outcome uint8

// The fates of a failed attempt.
const (
	// OutcomeNotSent means that no byte of the call left the node.
	OutcomeNotSent Outcome = iota
	// OutcomeNotServing means that the other node refused because it is leaving, or
	// because it has just started and has no catalogue in force yet.
	OutcomeNotServing
	// OutcomeShed means that the other node refused for lack of capacity. Its
	// endpoint never saw the call.
	OutcomeShed
	// OutcomeRefused means that the other node or its endpoint refused before
	// starting the call.
	OutcomeRefused
	// OutcomeExecuted means that the endpoint ran the call and its answer is unusable.
	OutcomeExecuted
	// OutcomeUnknown means that nobody can tell whether the call was started.
	OutcomeUnknown
)

// Step says what to do after a failed attempt.
type Step uint8

// The steps after a failed attempt.
const (
	// StepStop gives up.
	StepStop Step = iota
	// StepRetryFree tries elsewhere without a token: nothing reached an endpoint.
	StepRetryFree
	// StepRetryCharged tries elsewhere if pool and brake allow one more attempt.
	StepRetryCharged
)

// Next returns the step after a failed attempt. A non-idempotent call goes on
// only on proof that it was not started.
func Next(f Outcome, idempotent bool) Step {
	switch f {
	case OutcomeNotSent, OutcomeNotServing:
		return StepRetryFree
	case OutcomeShed, OutcomeRefused:
		return StepRetryCharged
	default:
		if idempotent {
			return StepRetryCharged
		}
		return StepStop
	}
}

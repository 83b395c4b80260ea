package retry

// Outcome is what the caller knows about a failed attempt.
type Outcome uint8

// The outcomes of a failed attempt.
const (
	// OutcomeNotSent means that no byte of the call was sent.
	OutcomeNotSent Outcome = iota
	// OutcomeNotServing means that the target node refused because it is leaving, or
	// because it has just started and has no catalogue in force yet.
	OutcomeNotServing
	// OutcomeShed means that the target node refused for lack of capacity and did not
	// pass the call to its endpoint.
	OutcomeShed
	// OutcomeRefused means that the target node or its endpoint refused the call before
	// starting it.
	OutcomeRefused
	// OutcomeExecuted means that the endpoint ran the call but its answer is unusable.
	OutcomeExecuted
	// OutcomeUnknown means that it is unknown whether the call was started.
	OutcomeUnknown
)

// Step is the action after a failed attempt.
type Step uint8

// The steps after a failed attempt.
const (
	// StepStop makes no further attempt.
	StepStop Step = iota
	// StepRetryFree retries on another endpoint without spending a token, because the
	// call reached no endpoint.
	StepRetryFree
	// StepRetryCharged retries on another endpoint if the retry limits allow it.
	StepRetryCharged
)

// Next returns the step after a failed attempt. A non-idempotent call is retried only if
// it was certainly not started.
func Next(outcome Outcome, idempotent bool) Step {
	switch outcome {
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

package retry

const (
	// milliPerAttempt is the credit of one attempt in thousandths of an attempt.
	milliPerAttempt = 1000
	// initialCreditAttempts is the initial credit of a service.
	initialCreditAttempts = 10
	// creditMaxAttempts bounds the credit accumulated from successes.
	creditMaxAttempts = 50
)

// Throttle limits the extra attempts to one service to a share of its successes. It is
// not safe for concurrent use.
type Throttle struct {
	creditMilli int
}

// NewThrottle returns a throttle with the initial credit.
func NewThrottle() *Throttle {
	return &Throttle{creditMilli: initialCreditAttempts * milliPerAttempt}
}

// RecordSuccess adds percent hundredths of an attempt to the credit, up to its maximum.
func (t *Throttle) RecordSuccess(percent int) {
	t.creditMilli = min(t.creditMilli+percent*milliPerAttempt/100, creditMaxAttempts*milliPerAttempt)
}

// Spend takes the credit of one extra attempt. It returns false if the credit does not
// suffice.
func (t *Throttle) Spend() bool {
	if t.creditMilli < milliPerAttempt {
		return false
	}
	t.creditMilli -= milliPerAttempt
	return true
}

package retry

// The brake counts in thousandths of an attempt.
const (
	milli = 1000
	// burstAttempts is the credit that a service starts with.
	burstAttempts = 10
	// creditMaxAttempts bounds the credit saved up in good times.
	creditMaxAttempts = 50
)

// Throttle bounds the extra attempts towards one service by a share of its
// successes. It is not safe for concurrent use.
type Throttle struct {
	creditMilli int
}

// NewThrottle returns a brake with the starting credit.
func NewThrottle() *Throttle {
	return &Throttle{creditMilli: burstAttempts * milli}
}

// RecordSuccess adds percent hundredths of an attempt to the credit.
func (b *Throttle) RecordSuccess(percent int) {
	b.creditMilli = min(b.creditMilli+percent*milli/100, creditMaxAttempts*milli)
}

// Spend takes one extra attempt out of the credit. It reports false when the
// credit is used up.
func (b *Throttle) Spend() bool {
	if b.creditMilli < milli {
		return false
	}
	b.creditMilli -= milli
	return true
}

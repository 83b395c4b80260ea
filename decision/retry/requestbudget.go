// Package retry decides whether a failed attempt is retried.
//
// Two limits apply together. A RequestBudget limits the extra attempts of one root
// request over its whole call chain: calls carry a part of its tokens, answers return
// the unspent ones, and no tokens are created on the way. A Throttle limits the extra
// attempts to one service to a share of its recent successes, so that retries don't
// overload a failing service.
package retry

// RequestBudget is the part of a root request's retry budget that is assigned to one
// call. It is not safe for concurrent use.
type RequestBudget struct {
	tokens int
}

// NewRequestBudget returns a budget of the given number of extra attempts.
func NewRequestBudget(tokens int) *RequestBudget {
	return &RequestBudget{tokens: max(tokens, 0)}
}

// Remaining returns the number of extra attempts left.
func (b *RequestBudget) Remaining() int {
	return b.tokens
}

// Spend takes one extra attempt from the budget. It returns false if none is left.
func (b *RequestBudget) Spend() bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	return true
}

// Split takes out the part that is sent with a call. It is the larger half, because a
// retry close to the failure repeats the least work.
func (b *RequestBudget) Split() int {
	part := (b.tokens + 1) / 2
	b.tokens -= part
	return part
}

// Reclaim returns the unspent tokens of a part to the budget. They are capped at the
// part that was sent, so that an answer can't create tokens.
func (b *RequestBudget) Reclaim(sent, unspent int) {
	b.tokens += min(max(unspent, 0), sent)
}

// Package retry decides whether a failed attempt is followed by another one.
//
// Two bounds hold together. The pool bounds the extra attempts of one root
// request over its whole chain: parts of it travel with calls and come back
// with answers, and tokens are never created on the way. The brake bounds the
// extra attempts towards one service by a share of its recent successes, so a
// failing service is not hammered.
package retry

// RequestBudget is the part of a root request's retry budget that one call holds. It is
// not safe for concurrent use.
type RequestBudget struct {
	tokens int
}

// NewRequestBudget returns a pool with the given number of extra attempts.
func NewRequestBudget(tokens int) *RequestBudget {
	return &RequestBudget{tokens: max(tokens, 0)}
}

// Remaining returns the number of extra attempts that the pool still allows.
func (p *RequestBudget) Remaining() int {
	return p.tokens
}

// Spend takes one extra attempt out of the pool. It reports false when the
// pool is empty.
func (p *RequestBudget) Spend() bool {
	if p.tokens == 0 {
		return false
	}
	p.tokens--
	return true
}

// Split takes out the part that travels with a call: the larger half, because a
// retry next to the failure repeats the least work.
func (p *RequestBudget) Split() int {
	part := (p.tokens + 1) / 2
	p.tokens -= part
	return part
}

// Reclaim puts back the unspent rest of a part. Claims above the handed part
// are cut off, so an answer can't create tokens.
func (p *RequestBudget) Reclaim(handed, unspent int) {
	p.tokens += min(max(unspent, 0), handed)
}

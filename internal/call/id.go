package call

import (
	"encoding/hex"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/problem"
)

// String returns the ID in hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// ParseID parses an ID in hexadecimal digits.
func ParseID(text string) (ID, error) {
	var id ID
	if len(text) != 2*len(id) {
		return ID{}, errors.Errorf("call ID: want %d hexadecimal digits, have %d characters", 2*len(id), len(text))
	}
	if _, err := hex.Decode(id[:], []byte(text)); err != nil {
		return ID{}, errors.Wrap(err, "call ID")
	}
	return id, nil
}

// Problem returns the problem that a reply reports, or nil if it carries the
// endpoint's own answer.
func (r *Reply) Problem() *problem.Error {
	if r.Status != 0 {
		return nil
	}
	kind, ok := problem.ParseKind(r.Kind)
	if !ok || kind == problem.KindNone {
		kind = problem.KindInternal
	}
	return problem.New(kind, problem.ParseExecution(r.Ran), "%s", r.Detail)
}

package storeera

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func at(era, revision uint64) Position {
	return Position{Era: era, Revision: revision}
}

func TestClassify(t *testing.T) {
	tests := []struct {
		desc  string
		known Position
		era   uint64
		want  Verdict
	}{
		{"the first answer", Position{}, 4, Current},
		{"the first answer of a store without eras", Position{}, 0, Current},
		{"the same era", at(4, 10), 4, Current},
		{"the same era, before any revision is known", at(4, 0), 4, Current},
		{"a restore", at(4, 10), 5, Restored},
		{"several restores since the last answer", at(4, 10), 9, Restored},
		{"a restore immediately after another", at(5, 0), 6, Restored},
		{"an answer in flight during a restore", at(5, 2), 4, Outdated},
		{"the first era reported, after revisions without one", at(0, 10), 1, Restored},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, Classify(test.known, test.era))
		})
	}
}

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{{}, at(0, 100), at(1, 0), at(1, 3), at(2, 1)}
	for i, p := range ordered {
		for j, other := range ordered {
			require.Equal(t, i < j, p.Before(other), "%v before %v", p, other)
		}
	}
}

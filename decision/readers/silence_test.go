package readers

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAfterLostCall checks that a silent connection isn't taken for an outage, and that watches that are never
// answered don't keep a reader from the state.
func TestAfterLostCall(t *testing.T) {
	tests := []struct {
		desc string
		lost LostCall
		want ReadAction
	}{
		{"a watch, and the platform answers", LostCall{Consecutive: 1, Reached: true}, ReadAgain},
		{"the next watch too", LostCall{Consecutive: 2, Reached: true}, ReadList},
		{"a list, and the platform answers", LostCall{Listing: true, Consecutive: 1, Reached: true}, ReadAgain},
		{"the next list too", LostCall{Listing: true, Consecutive: 2, Reached: true}, ReadUnavailable},
		{"the platform doesn't answer", LostCall{Consecutive: 1}, ReadUnavailable},
		{"the platform doesn't answer any more", LostCall{Consecutive: 2}, ReadUnavailable},
		{"the platform doesn't answer a list", LostCall{Listing: true, Consecutive: 1}, ReadUnavailable},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, AfterLostCall(test.lost))
		})
	}
}

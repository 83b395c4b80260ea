package blackboard

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEntryHasOneWriter(t *testing.T) {
	e := NewEntry("peers", 1)
	w := e.Claim("peer controller")
	w.Set(2)
	require.Equal(t, 2, e.Get())
	require.Equal(t, uint64(1), e.Version())
	require.Equal(t, "peer controller", e.WriterName())
	require.Panics(t, func() { e.Claim("view publisher") })
}

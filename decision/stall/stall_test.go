package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStalledAfterTwoMissedProbes(t *testing.T) {
	w := &Watch{}
	require.True(t, w.Due(0))
	require.False(t, w.Due(probeInterval), "one probe at a time")
	w.Probed(false)
	require.False(t, w.Stalled())
	require.True(t, w.Due(probeInterval))
	w.Probed(false)
	require.True(t, w.Stalled())
	require.True(t, w.Due(probeInterval+stalledInterval))
	w.Probed(true)
	require.False(t, w.Stalled())
}

func TestAnswersToCallsCountAsLife(t *testing.T) {
	w := &Watch{}
	for i := range 10 {
		now := time.Duration(i) * probeInterval
		require.True(t, w.Due(now))
		w.Answered(now + 1)
		w.Probed(false)
		require.False(t, w.Stalled())
	}
}

package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStalledAfterTwoMissedProbes(t *testing.T) {
	w := &Detector{}
	require.True(t, w.ProbeDue(0))
	require.False(t, w.ProbeDue(probeInterval), "one probe at a time")
	w.RecordProbe(false)
	require.False(t, w.Stalled())
	require.True(t, w.ProbeDue(probeInterval))
	w.RecordProbe(false)
	require.True(t, w.Stalled())
	require.True(t, w.ProbeDue(probeInterval+stalledInterval))
	w.RecordProbe(true)
	require.False(t, w.Stalled())
}

func TestAnswersToCallsCountAsLife(t *testing.T) {
	w := &Detector{}
	for i := range 10 {
		now := time.Duration(i) * probeInterval
		require.True(t, w.ProbeDue(now))
		w.RecordAnswer(now + 1)
		w.RecordProbe(false)
		require.False(t, w.Stalled())
	}
}

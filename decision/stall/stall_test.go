package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStalledAfterTwoMissedProbes(t *testing.T) {
	d := &Detector{}
	require.True(t, d.ProbeDue(0))
	require.False(t, d.ProbeDue(probeInterval), "one probe at a time")
	d.RecordProbe(false)
	require.False(t, d.Stalled())
	require.True(t, d.ProbeDue(probeInterval))
	d.RecordProbe(false)
	require.True(t, d.Stalled())
	require.True(t, d.ProbeDue(probeInterval+stalledInterval))
	d.RecordProbe(true)
	require.False(t, d.Stalled())
}

func TestAnsweredCallsPreventAStall(t *testing.T) {
	d := &Detector{}
	for i := range 10 {
		now := time.Duration(i) * probeInterval
		require.True(t, d.ProbeDue(now))
		d.RecordAnswer(now + 1)
		d.RecordProbe(false)
		require.False(t, d.Stalled())
	}
}

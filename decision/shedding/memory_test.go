package shedding

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/decision/priority"
)

const (
	booking = priority.Priority(10)
	lookup  = priority.Priority(1 << 24)
	other   = Target(2)
	target  = Target(1)
)

// refuse asks for one call and notes it as sent unless it is refused.
func refuse(m *ThresholdTable, now time.Duration, to Target, p priority.Priority) bool {
	if m.ShouldRefuse(now, to, p) {
		return true
	}
	m.RecordSent(now, to, p)
	return false
}

func TestRefusesFromTheThresholdOn(t *testing.T) {
	m := NewThresholdTable()
	require.False(t, refuse(m, 0, target, lookup), "nothing known")
	m.Update(0, target, lookup, 0)
	require.True(t, refuse(m, 0, target, lookup))
	require.True(t, refuse(m, 0, target, lookup+1))
	require.False(t, refuse(m, 0, target, lookup-1))
	require.False(t, refuse(m, 0, target, booking))
	require.False(t, refuse(m, 0, other, lookup))
	m.Update(0, target, priority.Lowest, 0)
	require.False(t, refuse(m, 0, target, lookup))
	require.False(t, refuse(m, 0, target, priority.Lowest), "nothing is shed")
}

func TestProbesWhenReportsAreOld(t *testing.T) {
	m := NewThresholdTable()
	m.Update(0, target, lookup, 0)
	require.True(t, refuse(m, ProbeInterval-1, target, lookup))
	require.False(t, refuse(m, ProbeInterval, target, lookup))
	require.True(t, refuse(m, ProbeInterval+ProbeGap, target, lookup), "one probe only")
	m.Update(2*ProbeInterval, target, lookup, 0)
	require.True(t, refuse(m, 2*ProbeInterval+1, target, lookup), "a fresh report needs no probe")
}

func TestRoomLetsOneCallPass(t *testing.T) {
	m := NewThresholdTable()
	m.Update(0, target, lookup, 5)
	require.False(t, refuse(m, 0, target, lookup))
	require.True(t, refuse(m, 0, target, lookup))
}

func TestReportExpires(t *testing.T) {
	m := NewThresholdTable()
	m.Update(0, target, lookup, 0)
	require.Equal(t, lookup, m.Threshold(ReportLifetime-1, target))
	require.Equal(t, priority.Lowest, m.Threshold(ReportLifetime, target))
	require.False(t, refuse(m, ReportLifetime, target, lookup))
	require.False(t, refuse(m, ReportLifetime, target, lookup))
}

func TestOnlyTheTargetOfTheCallIsProbed(t *testing.T) {
	m := NewThresholdTable()
	m.Update(0, target, lookup, 1)
	m.Update(0, other, lookup, 1)
	require.False(t, m.ShouldRefuse(0, target, lookup))
	require.False(t, m.ShouldRefuse(0, other, lookup))
	m.RecordSent(0, target, lookup)
	require.True(t, m.ShouldRefuse(0, target, lookup))
	require.False(t, m.ShouldRefuse(0, other, lookup), "no call was sent there")
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewThresholdTable()
	for i := range 2 * TargetsMax {
		m.Update(0, Target(i), lookup, 0)
	}
	require.Len(t, m.targets, TargetsMax)
	require.False(t, refuse(m, 0, Target(TargetsMax), lookup), "not held, so not refused")
	m.Update(ReportLifetime, Target(TargetsMax), lookup, 0)
	require.Len(t, m.targets, 1)
}

// A call under every reported threshold is never refused, and a target whose
// calls are all over the threshold is asked again within the probe interval.
func TestMemoryHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewThresholdTable()
		now := time.Duration(0)
		lastPass := time.Duration(0)
		lastReport := time.Duration(0)
		threshold := priority.Lowest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				threshold = priority.Priority(rapid.IntRange(1, 10).Draw(t, "threshold"))
				m.Update(now, target, threshold, 0)
				lastReport = now
				continue
			}
			p := priority.Priority(rapid.IntRange(0, 10).Draw(t, "priority"))
			refused := refuse(m, now, target, p)
			if !refused {
				lastPass = now
				continue
			}
			require.False(t, p.Before(threshold))
			require.Less(t, now-lastReport, ReportLifetime)
			require.Less(t, now-max(lastPass, lastReport), ProbeInterval)
		}
	})
}

func TestMemoryAllocatesNothing(t *testing.T) {
	m := NewThresholdTable()
	now := time.Duration(0)
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		m.Update(now, target, lookup, 0)
		refuse(m, now, target, lookup)
	})
	require.Zero(t, allocs)
}

func BenchmarkReportAndRefuse(b *testing.B) {
	m := NewThresholdTable()
	for i := range 64 {
		m.Update(0, Target(i), lookup, 0)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		m.Update(now, target, lookup, 0)
		refuse(m, now, target, lookup)
	}
}

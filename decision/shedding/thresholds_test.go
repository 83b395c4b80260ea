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

// refuseOrSend reports whether a call is refused, and records it as sent otherwise.
func refuseOrSend(table *ThresholdTable, now time.Duration, to Target, p priority.Priority) bool {
	if table.ShouldRefuse(now, to, p) {
		return true
	}
	table.RecordSent(now, to, p)
	return false
}

func TestRefusesAtOrBelowThreshold(t *testing.T) {
	table := NewThresholdTable()
	require.False(t, refuseOrSend(table, 0, target, lookup), "no report")
	table.Update(0, target, lookup, 0)
	require.True(t, refuseOrSend(table, 0, target, lookup))
	require.True(t, refuseOrSend(table, 0, target, lookup+1))
	require.False(t, refuseOrSend(table, 0, target, lookup-1))
	require.False(t, refuseOrSend(table, 0, target, booking))
	require.False(t, refuseOrSend(table, 0, other, lookup))
	table.Update(0, target, priority.Lowest, 0)
	require.False(t, refuseOrSend(table, 0, target, lookup))
	require.False(t, refuseOrSend(table, 0, target, priority.Lowest), "nothing is shed")
}

func TestProbesWhenReportsAreOld(t *testing.T) {
	table := NewThresholdTable()
	table.Update(0, target, lookup, 0)
	require.True(t, refuseOrSend(table, ProbeInterval-1, target, lookup))
	require.False(t, refuseOrSend(table, ProbeInterval, target, lookup))
	require.True(t, refuseOrSend(table, ProbeInterval+ProbeGap, target, lookup), "one probe only")
	table.Update(2*ProbeInterval, target, lookup, 0)
	require.True(t, refuseOrSend(table, 2*ProbeInterval+1, target, lookup), "a fresh report needs no probe")
}

func TestHeadroomAllowsOneCall(t *testing.T) {
	table := NewThresholdTable()
	table.Update(0, target, lookup, 5)
	require.False(t, refuseOrSend(table, 0, target, lookup))
	require.True(t, refuseOrSend(table, 0, target, lookup))
}

func TestReportExpires(t *testing.T) {
	table := NewThresholdTable()
	table.Update(0, target, lookup, 0)
	require.Equal(t, lookup, table.Threshold(ReportLifetime-1, target))
	require.Equal(t, priority.Lowest, table.Threshold(ReportLifetime, target))
	require.False(t, refuseOrSend(table, ReportLifetime, target, lookup))
	require.False(t, refuseOrSend(table, ReportLifetime, target, lookup))
}

func TestOnlyTheTargetOfTheCallIsProbed(t *testing.T) {
	table := NewThresholdTable()
	table.Update(0, target, lookup, 1)
	table.Update(0, other, lookup, 1)
	require.False(t, table.ShouldRefuse(0, target, lookup))
	require.False(t, table.ShouldRefuse(0, other, lookup))
	table.RecordSent(0, target, lookup)
	require.True(t, table.ShouldRefuse(0, target, lookup))
	require.False(t, table.ShouldRefuse(0, other, lookup), "no call was sent there")
}

func TestTableIsBounded(t *testing.T) {
	table := NewThresholdTable()
	for i := range 2 * TargetsMax {
		table.Update(0, Target(i), lookup, 0)
	}
	require.Len(t, table.targets, TargetsMax)
	require.False(t, refuseOrSend(table, 0, Target(TargetsMax), lookup), "not in the table, so not refused")
	table.Update(ReportLifetime, Target(TargetsMax), lookup, 0)
	require.Len(t, table.targets, 1)
}

// TestTableInvariants checks that a call below every reported threshold is never
// refused, and that a target whose calls are all above the threshold is probed again
// within the probe interval.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewThresholdTable()
		now := time.Duration(0)
		lastSent := time.Duration(0)
		lastReport := time.Duration(0)
		threshold := priority.Lowest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				threshold = priority.Priority(rapid.IntRange(1, 10).Draw(t, "threshold"))
				table.Update(now, target, threshold, 0)
				lastReport = now
				continue
			}
			p := priority.Priority(rapid.IntRange(0, 10).Draw(t, "priority"))
			refused := refuseOrSend(table, now, target, p)
			if !refused {
				lastSent = now
				continue
			}
			require.False(t, p.HigherThan(threshold))
			require.Less(t, now-lastReport, ReportLifetime)
			require.Less(t, now-max(lastSent, lastReport), ProbeInterval)
		}
	})
}

func TestTableDoesNotAllocate(t *testing.T) {
	table := NewThresholdTable()
	now := time.Duration(0)
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		table.Update(now, target, lookup, 0)
		refuseOrSend(table, now, target, lookup)
	})
	require.Zero(t, allocs)
}

func BenchmarkUpdateAndRefuse(b *testing.B) {
	table := NewThresholdTable()
	for i := range 64 {
		table.Update(0, Target(i), lookup, 0)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		table.Update(now, target, lookup, 0)
		refuseOrSend(table, now, target, lookup)
	}
}

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

func TestRefusesFromTheThresholdOn(t *testing.T) {
	m := NewMemory()
	require.False(t, m.Refuse(0, target, lookup), "nothing known")
	m.Report(0, target, lookup, 0)
	require.True(t, m.Refuse(0, target, lookup))
	require.True(t, m.Refuse(0, target, lookup+1))
	require.False(t, m.Refuse(0, target, lookup-1))
	require.False(t, m.Refuse(0, target, booking))
	require.False(t, m.Refuse(0, other, lookup))
	m.Report(0, target, priority.Lowest, 0)
	require.False(t, m.Refuse(0, target, lookup))
	require.False(t, m.Refuse(0, target, priority.Lowest), "nothing is shed")
}

func TestProbesWhenReportsAreOld(t *testing.T) {
	m := NewMemory()
	m.Report(0, target, lookup, 0)
	require.True(t, m.Refuse(ProbeInterval-1, target, lookup))
	require.False(t, m.Refuse(ProbeInterval, target, lookup))
	require.True(t, m.Refuse(ProbeInterval+ProbeGap, target, lookup), "one probe only")
	m.Report(2*ProbeInterval, target, lookup, 0)
	require.True(t, m.Refuse(2*ProbeInterval+1, target, lookup), "a fresh report needs no probe")
}

func TestRoomLetsOneCallPass(t *testing.T) {
	m := NewMemory()
	m.Report(0, target, lookup, 5)
	require.False(t, m.Refuse(0, target, lookup))
	require.True(t, m.Refuse(0, target, lookup))
}

func TestReportExpires(t *testing.T) {
	m := NewMemory()
	m.Report(0, target, lookup, 0)
	require.True(t, m.Sheds(Expiry-1, target, lookup))
	require.False(t, m.Sheds(Expiry, target, lookup))
	require.False(t, m.Refuse(Expiry, target, lookup))
	require.False(t, m.Refuse(Expiry, target, lookup))
}

func TestRefusedEverywhere(t *testing.T) {
	both := []Target{target, other}
	m := NewMemory()
	require.False(t, m.RefuseAll(0, nil, lookup), "no target")
	m.Report(0, target, lookup, 0)
	require.False(t, m.RefuseAll(0, both, lookup), "one is not known to shed")
	m.Report(0, other, lookup+1, 0)
	require.False(t, m.RefuseAll(0, both, lookup), "one doesn't shed")
	require.True(t, m.RefuseAll(0, both, lookup+1))
	m.Forget(other)
	require.False(t, m.RefuseAll(0, both, lookup+1))
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory()
	for i := range 2 * TargetsMax {
		m.Report(0, Target(i), lookup, 0)
	}
	require.Len(t, m.targets, TargetsMax)
	require.False(t, m.Refuse(0, Target(TargetsMax), lookup), "not held, so not refused")
	m.Report(Expiry, Target(TargetsMax), lookup, 0)
	require.Len(t, m.targets, 1)
}

// A call under every reported threshold is never refused, and a target whose
// calls are all over the threshold is asked again within the probe interval.
func TestMemoryHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory()
		now := time.Duration(0)
		lastPass := time.Duration(0)
		lastReport := time.Duration(0)
		threshold := priority.Lowest
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				threshold = priority.Priority(rapid.IntRange(1, 10).Draw(t, "threshold"))
				m.Report(now, target, threshold, 0)
				lastReport = now
				continue
			}
			p := priority.Priority(rapid.IntRange(0, 10).Draw(t, "priority"))
			refused := m.Refuse(now, target, p)
			if !refused {
				lastPass = now
				continue
			}
			require.False(t, p.Before(threshold))
			require.Less(t, now-lastReport, Expiry)
			require.Less(t, now-max(lastPass, lastReport), ProbeInterval)
		}
	})
}

func TestMemoryAllocatesNothing(t *testing.T) {
	m := NewMemory()
	now := time.Duration(0)
	allocs := testing.AllocsPerRun(1000, func() {
		now += time.Millisecond
		m.Report(now, target, lookup, 0)
		m.Refuse(now, target, lookup)
	})
	require.Zero(t, allocs)
}

func BenchmarkReportAndRefuse(b *testing.B) {
	m := NewMemory()
	for i := range 64 {
		m.Report(0, Target(i), lookup, 0)
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Microsecond
		m.Report(now, target, lookup, 0)
		m.Refuse(now, target, lookup)
	}
}

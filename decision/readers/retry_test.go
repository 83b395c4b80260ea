package readers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRetryPause(t *testing.T) {
	tests := []struct {
		desc     string
		failures int
		random   float64
		want     time.Duration
	}{
		{"first, shortest", 1, 0, 100 * time.Millisecond},
		{"first, longest", 1, 1, 200 * time.Millisecond},
		{"second, shortest", 2, 0, 200 * time.Millisecond},
		{"third, longest", 3, 1, 800 * time.Millisecond},
		{"many, longest", 1000, 1, RetryPauseMax},
		{"many, shortest", 1000, 0, RetryPauseMax / 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, RetryPause(test.failures, test.random))
		})
	}
}

// TestOutageReads plays an outage of 4.5 s for 200 nodes, whose reads fail at once, and
// compares their number with one try a second and the first two of each node.
func TestOutageReads(t *testing.T) {
	const (
		nodes  = 200
		outage = 4500 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(1, 1))
	reads, latest := 0, time.Duration(0)
	for range nodes {
		at := time.Duration(0)
		for failures := 1; at < outage; failures++ {
			reads++
			at += RetryPause(failures, r.Float64())
		}
		latest = max(latest, at-outage)
	}
	t.Logf("%d reads, the last node reads again %s after the outage", reads, latest)
	require.LessOrEqual(t, float64(reads), nodes*(2+outage.Seconds()))
	require.Less(t, latest, 2*time.Second, "configurations must be in force by then")
}

// TestProbesOfAnOutage plays the probes of many nodes in the longest outage of the users' days in which everything is refused
// at once. They cost no more than the lists that TestOutageReads allows, and end sooner after the outage.
func TestProbesOfAnOutage(t *testing.T) {
	const (
		nodes          = 200
		outage         = 4500 * time.Millisecond
		probesForARead = 10
		lists          = 2 // that fail before a node probes
	)
	r := rand.New(rand.NewPCG(1, 1))
	probes, latest := 0, time.Duration(0)
	for range nodes {
		at := RetryPause(1, r.Float64())
		for at < outage {
			probes++
			at += ReachPause(r.Float64())
		}
		latest = max(latest, at-outage)
	}
	price := nodes*lists + probes/probesForARead
	t.Logf("%d probes, the last node probes again %s after the outage", probes, latest)
	require.LessOrEqual(t, float64(price), nodes*(2+outage.Seconds()))
	require.LessOrEqual(t, latest, 250*time.Millisecond, "the time for entries to return counts from then on")
}

// TestListsAreSpread checks that a fleet which finds the platform in reach again at one moment lists at the rate that it
// may, as far as RetryPauseMax allows.
func TestListsAreSpread(t *testing.T) {
	tests := []struct {
		vms  int
		want time.Duration
	}{
		{0, 0},
		{12, 20 * time.Millisecond},
		{60, 100 * time.Millisecond},
		{600, 1500 * time.Millisecond},
		{5900, RetryPauseMax},
	}
	for _, test := range tests {
		require.Zero(t, ListSpread(test.vms, 0))
		require.Equal(t, test.want/2, ListSpread(test.vms, 0.5), "%d VMs", test.vms)
	}
}

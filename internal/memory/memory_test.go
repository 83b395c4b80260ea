package memory

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testProcessBytes gives a budget of 3 MB.
const testProcessBytes = 9 << 20

func TestLeaseIsReturnedWithItsLastReference(t *testing.T) {
	b := NewBudget(testProcessBytes)
	lease := b.NewCall()
	require.True(t, lease.TryGrow(1000))
	require.True(t, lease.TryGrow(500))
	require.Equal(t, 1500, b.Used())
	lease.Retain()
	lease.Release()
	require.Equal(t, 1500, b.Used())
	lease.Release()
	require.Zero(t, b.Used())
	require.False(t, lease.TryGrow(1), "a released lease would never be returned")
	require.Zero(t, b.Used())
}

func TestConnectionHasAReserveAndACallHasNone(t *testing.T) {
	b := NewBudget(testProcessBytes)
	connection := b.NewConnection()
	first, second := connection.NewLease(), connection.NewLease()
	require.True(t, first.TryGrow(reserveBytes))
	require.Zero(t, b.Used())
	require.True(t, second.TryGrow(1), "the reserve is that of the connection, not of a request")
	require.Equal(t, 1, b.Used())
	require.Equal(t, reserveBytes+1, connection.Held())
	first.Release()
	second.Release()
	require.Zero(t, connection.Held())
	require.True(t, b.NewCall().TryGrow(1))
	require.Equal(t, 1, b.Used())
}

func TestSingleHolderGetsAQuarterOfTheProcess(t *testing.T) {
	b := NewBudget(testProcessBytes)
	require.False(t, b.NewCall().TryGrow(testProcessBytes/4+1))
	require.True(t, b.NewCall().TryGrow(testProcessBytes/4))
}

func TestReserveIsLeftWhenTheBudgetIsUsed(t *testing.T) {
	b := NewBudget(testProcessBytes)
	for range 1000 {
		lease := b.NewCall()
		for lease.TryGrow(100) {
			continue
		}
	}
	require.True(t, b.NewConnection().NewLease().TryGrow(reserveBytes))
}

func TestNilLeaseGrantsEverything(t *testing.T) {
	var lease *Lease
	require.True(t, lease.TryGrow(1<<40))
	require.Nil(t, lease.Retain())
	lease.Release()
}

func TestGrowWaitsForWhatIsEvicted(t *testing.T) {
	tests := []struct {
		desc    string
		release bool // what is evicted releases its memory
		want    bool
	}{
		{"the evicted request is dropped", true, true},
		{"nothing is released in time", false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			b := NewBudget(testProcessBytes)
			stalled := b.NewCall()
			require.True(t, stalled.TryGrow(testProcessBytes/4))
			asked := 0
			b.SetEvict(func(bytes int) bool {
				asked = bytes
				if test.release {
					time.AfterFunc(releaseTimeout/10, stalled.Release)
				}
				return true
			})
			require.Equal(t, test.want, b.NewCall().Grow(testProcessBytes/4))
			require.Equal(t, testProcessBytes/4, asked)
		})
	}
}

func TestGrowFailsAtOnceWithoutStalledPeers(t *testing.T) {
	b := NewBudget(testProcessBytes)
	b.SetEvict(func(int) bool { return false })
	require.False(t, b.NewCall().Grow(testProcessBytes))
	require.False(t, NewBudget(testProcessBytes).NewCall().Grow(testProcessBytes), "without a function")
}

func TestConcurrentLeasesAreReturned(t *testing.T) {
	b := NewBudget(testProcessBytes)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			connection := b.NewConnection()
			for range 1000 {
				lease := connection.NewLease().Retain()
				_ = lease.TryGrow(64 << 10)
				go lease.Release()
				lease.Release()
			}
		})
	}
	group.Wait()
	require.Eventually(t, func() bool { return b.Used() == 0 }, 10*time.Second, time.Millisecond)
}

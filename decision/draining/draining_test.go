package draining

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAdmits(t *testing.T) {
	const since, drain = 10 * time.Second, 2 * time.Second
	tests := []struct {
		desc             string
		window           Window
		after, estimated time.Duration
		want             bool
	}{
		{"an endpoint that stays", Window{}, time.Hour, time.Hour, true},
		{"at the start of the drain", Closing(since, drain), 0, time.Second, true},
		{"a short call in the middle", Closing(since, drain), time.Second, 100 * time.Millisecond, true},
		{"a call that ends with the drain", Closing(since, drain), time.Second, time.Second, true},
		{"a call that would be broken off", Closing(since, drain), time.Second, 1100 * time.Millisecond, false},
		{"a call longer than the drain", Closing(since, drain), 0, 2600 * time.Millisecond, false},
		{"a call of unknown duration in the middle", Closing(since, drain), time.Second, 0, true},
		{"a call of unknown duration near the end", Closing(since, drain), 1800 * time.Millisecond, 0, false},
		{"after the drain", Closing(since, drain), 2300 * time.Millisecond, 0, false},
		{"an endpoint that gets no more calls", Closed(), 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, test.window.Admits(since+test.after, test.estimated))
		})
	}
}

func TestDuration(t *testing.T) {
	drain, stop := Closing(time.Second, time.Second), Between(time.Second, 2*time.Second)
	tests := []struct {
		desc                string
		window              Window
		typical, left, want time.Duration
	}{
		{"shorter than the time left", stop, time.Second, time.Minute, time.Second},
		{"bounded by its deadline", stop, time.Minute, time.Second, time.Second},
		{"bounded by its deadline in a drain", drain, time.Minute, time.Second, time.Second},
		{"unknown in a stop, which interrupts it", stop, 0, time.Second, time.Second},
		{"unknown in a stop and a drain", drain.And(stop), 0, time.Second, time.Second},
		{"unknown in a drain", drain, 0, time.Second, 0},
		{"its deadline has passed", stop, time.Second, -time.Second, 0},
		{"unknown, and its deadline has passed", stop, 0, -time.Second, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, test.window.Duration(test.typical, test.left))
		})
	}
}

// TestNoCallStartsAfterTheDrain draws times and durations: an admitted call starts and is
// expected to end within the drain, and a later or longer one is not admitted instead.
func TestNoCallStartsAfterTheDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		since := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "since"))
		drain := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "drain"))
		start := since + time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "start"))
		estimated := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "estimated"))
		w := Closing(since, drain)
		require.True(t, w.IsClosing())
		if !w.Admits(start, estimated) {
			require.False(t, w.Admits(start+1, estimated))
			require.False(t, w.Admits(start, estimated+1))
			return
		}
		require.Less(t, start, since+drain)
		require.LessOrEqual(t, start+estimated, since+drain)
	})
}

func TestAndAdmitsWhatBothWindowsAdmit(t *testing.T) {
	early, late := Between(time.Second, 2*time.Second), Between(3*time.Second, 4*time.Second)
	require.Equal(t, early, early.And(Window{}))
	require.Equal(t, early, Window{}.And(early))
	require.Equal(t, early, early.And(late))
	require.Equal(t, early, late.And(early))
	require.False(t, Between(time.Second, time.Minute).And(Between(time.Minute, 2*time.Second)).Admits(500*time.Millisecond, 1600*time.Millisecond))
	require.False(t, early.And(Closed()).Admits(0, 0))
	require.False(t, Window{}.And(Window{}).IsClosing())
}

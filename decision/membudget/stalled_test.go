package membudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEvictions(t *testing.T) {
	const stalledMin = time.Second
	holdings := []Holding{
		{Bytes: 100, Stalled: 500 * time.Millisecond},
		{Bytes: 20, Stalled: time.Second},
		{Bytes: 60, Stalled: time.Hour},
		{Bytes: 0, Stalled: time.Hour},
		{Bytes: 40, Stalled: 2 * time.Second},
	}
	tests := []struct {
		desc   string
		needed int
		want   []int
	}{
		{"nothing is needed", 0, []int{}},
		{"the largest stalled one suffices", 60, []int{2}},
		{"two are needed", 61, []int{2, 4}},
		{"all stalled ones do not suffice", 1000, []int{2, 4, 1}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, Evictions(holdings, test.needed, stalledMin))
		})
	}
	require.Empty(t, Evictions(holdings[:1], 1, stalledMin), "a peer that makes progress is not evicted")
}

func TestLongestIdle(t *testing.T) {
	require.Equal(t, 1, LongestIdle([]Holding{{Stalled: 1}, {Stalled: 3}, {Stalled: 2}}))
	require.Equal(t, -1, LongestIdle(nil))
}

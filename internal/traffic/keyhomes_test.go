package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestChangeOfKeyHomesMakesAHomeYoung(t *testing.T) {
	k := &keyHomes{}
	k.follow(time.Second, []string{"a"})
	require.Equal(t, time.Minute, k.age(time.Minute), "the first list counts from the start")
	k.follow(time.Minute, []string{"a"})
	require.Equal(t, time.Hour, k.age(time.Hour), "the same list changes nothing")
	k.follow(time.Hour, []string{"a", "b"})
	require.Zero(t, k.age(time.Hour))
	k.follow(2*time.Hour, nil)
	k.follow(3*time.Hour, []string{"a"})
	require.Zero(t, k.age(3*time.Hour), "a list that comes back is a change as well")
}

package traffic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestChangeOfKeyHomesResetsAge(t *testing.T) {
	k := &keyHomes{}
	k.update(time.Second, []string{"a"})
	require.Equal(t, time.Minute, k.age(time.Minute), "the first list counts from the process start")
	k.update(time.Minute, []string{"a"})
	require.Equal(t, time.Hour, k.age(time.Hour), "the same list changes nothing")
	k.update(time.Hour, []string{"a", "b"})
	require.Zero(t, k.age(time.Hour))
	k.update(2*time.Hour, nil)
	k.update(3*time.Hour, []string{"a"})
	require.Zero(t, k.age(3*time.Hour), "a restored list is a change as well")
}

package timeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const captured = `
   1.0000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.000000Z","clock":1,"event":1001,"name":"call_refused","correlation":"early","kind":"timeout","own":true}
   1.4000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.400000Z","clock":2,"event":1001,"name":"call_refused","correlation":"child","kind":"overloaded","own":true}
   1.4000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.400000Z","clock":3,"event":1001,"name":"call_refused","correlation":"other","kind":"overloaded","own":false}
   1.4000 vm-2 {"level":"info","process":"node","vm":"vm-2","time":"2026-01-01T00:00:01.400000Z","clock":2,"event":1001,"name":"call_refused","correlation":"elsewhere","kind":"overloaded","own":true}
   1.5000 vm-1 {"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01.500000Z","clock":4,"event":1011,"name":"endpoint_failed","correlation":"root","status":500,"took":"300ms"}
no event
`

func TestWhyNamesTheFailedCallsOfARun(t *testing.T) {
	l, err := Parse(strings.NewReader(captured))
	require.NoError(t, err)
	require.Equal(t, 1, l.Skipped)
	w := WhyOf(l.Events, "root")
	require.Len(t, w.Events, 1)
	require.Len(t, w.Causes, 1)
	require.Equal(t, "child", w.Causes[0].Correlation)
	var out strings.Builder
	require.NoError(t, w.Write(&out))
	require.Contains(t, out.String(), "endpoint_failed status=500 took=300ms\nfailed calls of the same endpoint meanwhile:\n  ")
	require.True(t, WhyOf(l.Events, "unknown").Empty())
}

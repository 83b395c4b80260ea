package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const crashLog = `
{"level":"info","process":"node","vm":"vm-1","time":"2026-01-01T00:00:00Z","clock":1,"event":3001,"name":"node_started"}
{"level":"warn","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01Z","clock":2,"event":1003,"name":"endpoint_crashed","correlation":"r1","fingerprint":18283640398904337821,"crash":683677951071772403,"lost":1,"route":"view"}
{"level":"warn","process":"node","vm":"vm-1","time":"2026-01-01T00:00:01Z","clock":3,"event":1003,"name":"endpoint_crashed","correlation":"r2","fingerprint":7,"crash":683677951071772403,"lost":1,"route":"book"}
{"level":"warn","process":"node","vm":"vm-2","time":"2026-01-01T00:00:02.5Z","clock":4,"event":1003,"name":"endpoint_crashed","correlation":"r3","fingerprint":18283640398904337821,"crash":683677951071772404,"lost":2,"route":"view"}
{"level":"warn","process":"node","vm":"vm-2","time":"2026-01-01T00:00:03Z","clock":5,"event":1005,"name":"suspect_refused","correlation":"r4","fingerprint":18283640398904337821}
`

func TestSuspects(t *testing.T) {
	l, err := Parse(strings.NewReader(crashLog))
	require.NoError(t, err)
	got := FindSuspects(l.Events)
	require.Equal(t, []Suspect{
		{Fingerprint: "18283640398904337821", Route: "view", Crashes: 2, Requests: 2, Refused: 1, First: time.Second, Last: 2500 * time.Millisecond, Example: "r3"},
		{Fingerprint: "7", Route: "book", Crashes: 1, Requests: 1, First: time.Second, Last: time.Second, Example: "r2"},
	}, got)
	require.Empty(t, FindSuspects(nil))

	var out strings.Builder
	require.NoError(t, WriteSuspects(&out, got, 1))
	require.Regexp(t, `(?s)^crashes .*\n2 +2 +1 +1s +2.5s +view +18283640398904337821 +r3\n1 other contents *\n$`, out.String())
}

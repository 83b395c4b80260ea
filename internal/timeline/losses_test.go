package timeline

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lossLog = capturedLog + `
   1.7000 vm-2 {"level":"info","process":"node","vm":"vm-2","time":"2026-01-01T00:00:01.700000Z","clock":9,"event":1001,"name":"call_refused","correlation":"r1","route":"view","kind":"overloaded","ran":"no","detail":"VM vm-1: the chain of route view is overloaded"}
   3.1000 vm-3 {"level":"info","process":"node","vm":"vm-3","time":"2026-01-01T00:00:03.100000Z","clock":10,"event":1001,"name":"call_refused","correlation":"r2","route":"view","kind":"overloaded","ran":"no","detail":"VM vm-2: the chain of route view is overloaded"}
   3.2000 vm-3 {"level":"info","process":"node","vm":"vm-3","time":"2026-01-01T00:00:03.200000Z","clock":11,"event":1001,"name":"call_refused","correlation":"r3","route":"view","kind":"overloaded","ran":"no","detail":"VM vm-4: the chain of route view is overloaded"}
`

func TestLosses(t *testing.T) {
	l, err := Parse(strings.NewReader(lossLog))
	require.NoError(t, err)
	const overloaded = "a VM: the chain of route view is overloaded"
	tests := []struct {
		desc string
		step time.Duration
		want []Loss
	}{
		{"without steps", 0, []Loss{
			{Route: "view", Reason: "overloaded, ran: no", RootCause: overloaded, Count: 3},
			{Reason: "endpoint answered 500", RootCause: "no failed call is known", Count: 1},
			{Reason: "endpoint answered 500", RootCause: "service : ", Count: 1},
			{Reason: "overloaded, ran: ", Count: 1},
		}},
		{"in steps", 2 * time.Second, []Loss{
			{Reason: "endpoint answered 500", RootCause: "no failed call is known", Count: 1},
			{Reason: "endpoint answered 500", RootCause: "service : ", Count: 1},
			{Reason: "overloaded, ran: ", Count: 1},
			{Route: "view", Reason: "overloaded, ran: no", RootCause: overloaded, Count: 1},
			{After: 2 * time.Second, Route: "view", Reason: "overloaded, ran: no", RootCause: overloaded, Count: 2},
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, GroupLosses(l.Events, test.step))
		})
	}
	require.Empty(t, GroupLosses(nil, time.Second))
}

func TestLossTableIsLimited(t *testing.T) {
	losses := []Loss{{Route: "a", Count: 5}, {Route: "b", Count: 3}, {Route: "c", Count: 1}, {After: time.Second, Route: "a", Count: 2}}
	var out strings.Builder
	require.NoError(t, WriteLosses(&out, losses, 1))
	require.Regexp(t, `(?s)^after .*\n0s +5 +a .*\n0s +4 +other.*\n1s +2 +a[^\n]*\n$`, out.String())
}

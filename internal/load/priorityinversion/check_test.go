package priorityinversion

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

func dorvaktRoutes(t *testing.T) Routes {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	routes, err := NewRoutes(c, d)
	require.NoError(t, err)
	return routes
}

func TestRoutes(t *testing.T) {
	routes := dorvaktRoutes(t)
	require.Len(t, routes, 3, "internal routes are excluded")
	require.Equal(t, Route{Rank: 0, Calls: []CallPosition{
		{"", "bookings"}, {"0", "contracts"}, {"0.0", "dispatch"}, {"0.0.0", "stock"},
	}}, routes["book-repair"])
	require.Equal(t, Route{Rank: 1, Calls: []CallPosition{{"", "dispatch"}, {"0", "stock"}}}, routes["fault-log"])
}

// newOutcome returns an outcome with the wall clock times of arrival and end, in
// milliseconds.
func newOutcome(request, route string, arrived, ended int, result outcome.Result, kind string) outcome.Outcome {
	return outcome.Outcome{
		Request: request, Route: route, Class: "c", Result: result, Kind: kind, Ran: "no", Sends: 1,
		EndWallNs: ns(ended), LatencyNs: ns(ended - arrived),
	}
}

func ns(ms int) int64 {
	return int64(time.Duration(ms) * time.Millisecond)
}

func startRecord(ms int, request, position, service string) truth.Record {
	return truth.Record{Kind: truth.Started, WallNs: ns(ms), Request: request, Position: position, Service: service, VM: service + "-1"}
}

// refusedBooking arrives at 100 ms and is refused at 500 ms.
func refusedBooking(kind string) outcome.Outcome {
	return newOutcome("b", "book-repair", 100, 500, outcome.Refused, kind)
}

func lookup(arrived int) outcome.Outcome {
	return newOutcome("l", "spare-part", arrived, 900, outcome.Complete, "")
}

func TestCheck(t *testing.T) {
	// The booking has started at all services above stock.
	upstream := []truth.Record{
		startRecord(101, "b", "", "bookings"), startRecord(102, "b", "0", "contracts"), startRecord(103, "b", "0.0", "dispatch"),
	}
	cases := []struct {
		desc       string
		records    []truth.Record
		all        []outcome.Outcome
		refused    int
		violations int
	}{
		{"a later lookup ran where the booking was refused", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{refusedBooking("overloaded"), lookup(200)}, 1, 1},
		{"refused by an upstream endpoint", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{newOutcome("b", "book-repair", 100, 500, outcome.Failed, "deadline"), lookup(200)}, 1, 1},
		{"refused by the endpoint itself", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{newOutcome("b", "book-repair", 100, 500, outcome.Failed, ""), lookup(200)}, 1, 1},
		{"the lookup arrived earlier", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{refusedBooking("overloaded"), lookup(99)}, 1, 0},
		{"the lookup arrived earlier, its first send a little later", append(upstream, startRecord(300, "l", "", "stock")), func() []outcome.Outcome {
			l := lookup(99)
			l.SendLagNs = ns(2)
			return []outcome.Outcome{refusedBooking("overloaded"), l}
		}(), 1, 1},
		{"the lookup started after the refusal", append(upstream, startRecord(501, "l", "", "stock")), []outcome.Outcome{refusedBooking("overloaded"), lookup(200)}, 1, 0},
		{"the lookup ran elsewhere", append(upstream, startRecord(300, "l", "", "dispatch")), []outcome.Outcome{refusedBooking("overloaded"), lookup(200)}, 1, 0},
		{"a later booking ran", append(upstream, startRecord(300, "l", "0.0.0", "stock")), []outcome.Outcome{refusedBooking("overloaded"), newOutcome("l", "book-repair", 200, 900, outcome.Complete, "")}, 1, 0},
		{"a call of an unknown request", append(upstream, startRecord(300, "z", "", "stock")), []outcome.Outcome{refusedBooking("overloaded")}, 1, 0},
		{"the booking was late", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{newOutcome("b", "book-repair", 100, 500, outcome.TimedOut, ""), lookup(200)}, 0, 0},
		{"refused for another reason", append(upstream, startRecord(300, "l", "", "stock")), []outcome.Outcome{refusedBooking("suspect"), lookup(200)}, 0, 0},
		{"a refused lookup", []truth.Record{startRecord(300, "b", "", "bookings")}, []outcome.Outcome{newOutcome("l", "spare-part", 100, 500, outcome.Refused, "overloaded"), newOutcome("b", "book-repair", 200, 900, outcome.Complete, "")}, 0, 0},
		{"every call of the booking started", append(upstream, startRecord(104, "b", "0.0.0", "stock"), startRecord(300, "l", "", "stock")), []outcome.Outcome{refusedBooking("deadline"), lookup(200)}, 1, 0},
		{"refused at the edge, lookups at one of two services", []truth.Record{startRecord(300, "l", "", "stock")}, []outcome.Outcome{refusedBooking("overloaded_everywhere"), lookup(200)}, 1, 0},
		{"refused at the edge, lookups at both", []truth.Record{startRecord(300, "l", "", "dispatch"), startRecord(310, "l", "0", "stock")}, []outcome.Outcome{refusedBooking("overloaded_everywhere"), newOutcome("l", "fault-log", 200, 900, outcome.Complete, "")}, 1, 1},
	}
	routes := dorvaktRoutes(t)
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got := Check(c.records, c.all, routes)
			require.Equal(t, c.refused, got.Refused)
			require.Len(t, got.Violations, c.violations)
		})
	}
}

func TestTraces(t *testing.T) {
	records := []truth.Record{startRecord(101, "b", "", "bookings"), startRecord(102, "b", "0", "contracts"), startRecord(103, "b", "0.0", "dispatch")}
	records = append(records, startRecord(300, "l", "", "stock"), startRecord(310, "l", "", "stock"))
	var out bytes.Buffer
	require.NoError(t, Check(records, []outcome.Outcome{refusedBooking("overloaded"), lookup(200)}, dorvaktRoutes(t)).WriteText(&out))
	for _, want := range []string{
		"ran: 1\n", "b c: overloaded/no at +400.0 ms", "+3.0 ms started dispatch-1 \"0.0\"",
		"+200.0 ms later: l started at stock-1 of stock, the first of 2\n",
	} {
		require.Contains(t, out.String(), want)
	}
}

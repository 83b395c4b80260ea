package callgraph

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// routeLoad describes the simulated load of one served route. Runs start at random
// times and make their calls at random times within the run.
type routeLoad struct {
	route string
	rate  float64 // runs per second
	took  time.Duration
	calls map[string]int // per run, by callee
}

type event struct {
	at    time.Duration
	apply func(*Graph)
}

func simulate(seed uint64, length time.Duration, loads []routeLoad) *Graph {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []event
	for _, l := range loads {
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
			if at > length {
				break
			}
			took := time.Duration((0.5 + random.Float64()) * float64(l.took))
			events = append(events, event{at, func(g *Graph) { g.RecordStart(l.route) }},
				event{at + took, func(g *Graph) { g.RecordEnd(l.route) }})
			for callee, n := range l.calls {
				for range n {
					events = append(events, event{at + time.Duration(random.Float64()*float64(took)), func(g *Graph) { g.RecordCall(callee) }})
				}
			}
		}
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].at < events[j].at })
	g := New()
	for _, e := range events {
		g.Tick(e.at)
		e.apply(g)
	}
	return g
}

func TestCalleesAreFound(t *testing.T) {
	tests := []struct {
		desc  string
		loads []routeLoad
		want  map[string][]string
	}{
		{
			desc:  "one route with one callee",
			loads: []routeLoad{{"history", 30, 400 * time.Millisecond, map[string]int{"slots": 2}}},
			want:  map[string][]string{"history": {"slots"}},
		},
		{
			desc: "a route without calls beside a busy one with many",
			loads: []routeLoad{
				{"levels", 75, 150 * time.Millisecond, map[string]int{"terms": 4}},
				{"stock", 10, 300 * time.Millisecond, nil},
			},
			want: map[string][]string{"levels": {"terms"}, "stock": nil},
		},
		{
			desc: "two routes with the same callee",
			loads: []routeLoad{
				{"slots", 60, 160 * time.Millisecond, map[string]int{"levels": 1}},
				{"booking", 20, 300 * time.Millisecond, map[string]int{"levels": 2}},
			},
			want: map[string][]string{"slots": {"levels"}, "booking": {"levels"}},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			correct, total := 0, 0
			for seed := range uint64(50) {
				g := simulate(seed, 12*time.Second, test.loads)
				for route, want := range test.want {
					total++
					if len(want) == len(g.Callees(route)) && (len(want) == 0 || want[0] == g.Callees(route)[0]) {
						correct++
					}
				}
			}
			require.GreaterOrEqual(t, float64(correct)/float64(total), 0.9, "%d of %d correct", correct, total)
		})
	}
}

func TestEndpointWithoutCallsHasNoCallees(t *testing.T) {
	g := simulate(1, 5*time.Second, []routeLoad{{"status", 50, 50 * time.Millisecond, nil}})
	require.Empty(t, g.Callees("status"))
}

func TestAllCalleesReturnedBeforeFirstEstimate(t *testing.T) {
	g := New()
	g.RecordStart("stock")
	g.RecordCall("terms")
	require.Equal(t, []string{"terms"}, g.Callees("stock"))
}

// TestUnusedRoutesAreEvicted records more routes than the graph holds, as operators add
// and remove them, before the load of a new route. The unused ones must be evicted.
func TestUnusedRoutesAreEvicted(t *testing.T) {
	g := New()
	for i := range 3 * routesMax {
		route := string(rune('a'+i%26)) + string(rune('a'+i/26))
		g.RecordStart(route)
		g.RecordEnd(route)
		g.RecordCall("call-" + route)
		g.Tick(time.Duration(i) * interval)
	}
	for i := range 10 {
		for range 20 + i%3*10 {
			g.RecordStart("history")
			g.RecordCall("slots")
			g.RecordCall("slots")
			g.RecordEnd("history")
		}
		g.Tick(time.Duration(3*routesMax+i) * interval)
	}
	require.Contains(t, g.Callees("history"), "slots")
	require.LessOrEqual(t, len(g.served), routesMax)
	require.LessOrEqual(t, len(g.callees), routesMax)
}

package callgraph

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// load plays an endpoint that serves routes at random moments and makes calls
// spread over each run.
type load struct {
	route string
	rate  float64 // runs in a second
	took  time.Duration
	calls map[string]int // by callee, in each run
}

type moment struct {
	at time.Duration
	do func(*Graph)
}

func play(seed uint64, length time.Duration, loads []load) *Graph {
	random := rand.New(rand.NewPCG(seed, 1))
	var moments []moment
	for _, l := range loads {
		at := time.Duration(0)
		for {
			at += time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
			if at > length {
				break
			}
			took := time.Duration((0.5 + random.Float64()) * float64(l.took))
			moments = append(moments, moment{at, func(g *Graph) { g.RecordStart(l.route) }},
				moment{at + took, func(g *Graph) { g.RecordEnd(l.route) }})
			for callee, n := range l.calls {
				for range n {
					moments = append(moments, moment{at + time.Duration(random.Float64()*float64(took)), func(g *Graph) { g.RecordCall(callee) }})
				}
			}
		}
	}
	sort.SliceStable(moments, func(i, j int) bool { return moments[i].at < moments[j].at })
	g := New()
	for _, one := range moments {
		g.Tick(one.at)
		one.do(g)
	}
	return g
}

func TestCalleesAreFound(t *testing.T) {
	tests := []struct {
		desc  string
		loads []load
		want  map[string][]string
	}{
		{
			desc:  "one route with one callee",
			loads: []load{{"history", 30, 400 * time.Millisecond, map[string]int{"slots": 2}}},
			want:  map[string][]string{"history": {"slots"}},
		},
		{
			desc: "a route without calls beside a busy one with many",
			loads: []load{
				{"levels", 75, 150 * time.Millisecond, map[string]int{"terms": 4}},
				{"stock", 10, 300 * time.Millisecond, nil},
			},
			want: map[string][]string{"levels": {"terms"}, "stock": nil},
		},
		{
			desc: "two routes with the same callee",
			loads: []load{
				{"slots", 60, 160 * time.Millisecond, map[string]int{"levels": 1}},
				{"booking", 20, 300 * time.Millisecond, map[string]int{"levels": 2}},
			},
			want: map[string][]string{"slots": {"levels"}, "booking": {"levels"}},
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			right, asked := 0, 0
			for seed := range uint64(50) {
				g := play(seed, 12*time.Second, test.loads)
				for route, want := range test.want {
					asked++
					if len(want) == len(g.Callees(route)) && (len(want) == 0 || want[0] == g.Callees(route)[0]) {
						right++
					}
				}
			}
			require.GreaterOrEqual(t, float64(right)/float64(asked), 0.9, "%d of %d", right, asked)
		})
	}
}

func TestEndpointWithoutCallsHasNoCallees(t *testing.T) {
	g := play(1, 5*time.Second, []load{{"status", 50, 50 * time.Millisecond, nil}})
	require.Empty(t, g.Callees("status"))
}

func TestAllCalleesCountUntilMoreIsKnown(t *testing.T) {
	g := New()
	g.RecordStart("stock")
	g.RecordCall("terms")
	require.Equal(t, []string{"terms"}, g.Callees("stock"))
}

// TestRoutesThatNobodyAsksForMakeRoom plays more routes than the graph holds, as
// operators add and remove them, before the usual load.
func TestRoutesThatNobodyAsksForMakeRoom(t *testing.T) {
	g := New()
	for i := range 3 * routesMax {
		route := string(rune('a'+i%26)) + string(rune('a'+i/26))
		g.RecordStart(route)
		g.RecordEnd(route)
		g.RecordCall("call-" + route)
		g.Tick(time.Duration(i) * stretch)
	}
	for i := range 10 {
		for range 20 + i%3*10 {
			g.RecordStart("history")
			g.RecordCall("slots")
			g.RecordCall("slots")
			g.RecordEnd("history")
		}
		g.Tick(time.Duration(3*routesMax+i) * stretch)
	}
	require.Contains(t, g.Callees("history"), "slots")
	require.LessOrEqual(t, len(g.served), routesMax)
	require.LessOrEqual(t, len(g.callees), routesMax)
}

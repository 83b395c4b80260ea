// Package callgraph learns which routes an endpoint calls while it runs which of
// its own, from counts alone. Calls of an endpoint need not name the request
// that they are made for; without the graph, overload of a deep service could not
// be turned away where it is caused.
//
// The calls of a route in a stretch of time are a sum over the routes that the
// endpoint served: their runs times the calls that each run makes. Runs vary
// independently, so least squares over many stretches tells the factors.
package callgraph

import (
	"math"
	"slices"
	"time"
)

const (
	// stretch is the time over which runs and calls are counted together. It is
	// longer than a usual run.
	stretch = 500 * time.Millisecond
	// forget is the weight of what was known when a stretch is added; half of it
	// is gone after about 14 s.
	forget = 0.975
	// callsMin is the least number of calls of a callee that a run makes.
	callsMin = 0.3
	// callsShare is the same as a share of the calls that runs make on average.
	callsShare = 0.3
	// runsMin is the least mean square of the runs in a stretch that tells
	// something of a route.
	runsMin = 0.5
	// stretchesMin is the number of stretches from which on the factors count.
	stretchesMin = 3
	// routesMax bounds the routes on each side.
	routesMax = 16
	// ridge keeps the equations soluble while routes run in step.
	ridge = 1e-3
	// pivotMin is the least pivot of equations that can be solved.
	pivotMin = 1e-9
)

// Graph learns the calls of one endpoint. It is not safe for concurrent use.
type Graph struct {
	served  []string
	callees []string
	runs    [routesMax]float64 // of each served route in this stretch
	calls   [routesMax]float64 // of each callee in this stretch
	squares matrix
	crossed matrix             // served by callee
	power   [routesMax]float64 // of each callee
	count   float64
	began   time.Duration
	edges   map[string][]string
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{edges: make(map[string][]string)}
}

// RecordStart takes in that the endpoint began to run a request of a route.
func (g *Graph) RecordStart(route string) {
	g.half(route)
}

// RecordEnd takes in that the endpoint ended a run of a route. A run counts half
// where it begins and half where it ends, as its calls lie between.
func (g *Graph) RecordEnd(route string) {
	g.half(route)
}

func (g *Graph) half(route string) {
	at := slices.Index(g.served, route)
	if at < 0 && len(g.served) < routesMax {
		at = len(g.served)
		g.served = append(g.served, route)
	} else if at < 0 {
		at = g.quietest()
		g.replaceServed(at, route)
	}
	g.runs[at] += 0.5
}

// quietest returns the served route with the fewest runs lately. Operators add
// and remove routes; those that nobody asks for any more make room.
func (g *Graph) quietest() int {
	quietest := 0
	for i := range g.served {
		if g.squares[i][i]+g.runs[i] < g.squares[quietest][quietest]+g.runs[quietest] {
			quietest = i
		}
	}
	return quietest
}

// replaceServed forgets what is known of a served route and puts another in its
// place.
func (g *Graph) replaceServed(at int, route string) {
	delete(g.edges, g.served[at])
	g.served[at] = route
	g.runs[at] = 0
	g.crossed[at] = [routesMax]float64{}
	g.squares[at] = [routesMax]float64{}
	for i := range g.squares {
		g.squares[i][at] = 0
	}
}

// RecordCall takes in that the endpoint made a call of a route.
func (g *Graph) RecordCall(route string) {
	at := slices.Index(g.callees, route)
	if at < 0 && len(g.callees) < routesMax {
		at = len(g.callees)
		g.callees = append(g.callees, route)
	} else if at < 0 {
		at = g.leastCalled()
		g.replaceCallee(at, route)
	}
	g.calls[at]++
}

// leastCalled returns the callee with the fewest calls lately.
func (g *Graph) leastCalled() int {
	least := 0
	for k := range g.callees {
		if g.power[k]+g.calls[k] < g.power[least]+g.calls[least] {
			least = k
		}
	}
	return least
}

func (g *Graph) replaceCallee(at int, route string) {
	g.callees[at] = route
	g.calls[at], g.power[at] = 0, 0
	for i := range g.crossed {
		g.crossed[i][at] = 0
	}
}

// Callees returns the routes that the endpoint calls while it runs a route. As
// long as nothing is known, that is every route that it calls: after a restart
// the first second may bring an overload.
func (g *Graph) Callees(route string) []string {
	if g.count < stretchesMin {
		return g.callees
	}
	return g.edges[route]
}

// Tick closes a stretch when its time is over.
func (g *Graph) Tick(now time.Duration) {
	if now-g.began < stretch {
		return
	}
	if now-g.began < 2*stretch {
		g.add()
		g.solve()
	}
	g.began = now
	g.runs = [routesMax]float64{}
	g.calls = [routesMax]float64{}
}

func (g *Graph) add() {
	g.count = g.count*forget + 1
	for i := range g.served {
		for j := range g.served {
			g.squares[i][j] = g.squares[i][j]*forget + g.runs[i]*g.runs[j]
		}
		for k := range g.callees {
			g.crossed[i][k] = g.crossed[i][k]*forget + g.runs[i]*g.calls[k]
		}
	}
	for k := range g.callees {
		g.power[k] = g.power[k]*forget + g.calls[k]*g.calls[k]
	}
}

// solve finds the calls that a run makes and draws the edges anew. With little
// to go by all routes count alike; each one's own runs then tell it apart.
func (g *Graph) solve() {
	clear(g.edges)
	active := g.active()
	if g.count < stretchesMin || len(active) == 0 {
		return
	}
	for k, callee := range g.callees {
		usual := g.usual(active, k)
		if usual == 0 {
			continue
		}
		noise := g.noise(active, k)
		factors, ok := g.factors(active, k, noise/(usual*usual), usual)
		if !ok {
			continue
		}
		for at, i := range active {
			if factors[at] > max(callsMin, usual*callsShare) {
				g.edges[g.served[i]] = append(g.edges[g.served[i]], callee)
			}
		}
	}
}

// active returns the served routes that have runs.
func (g *Graph) active() []int {
	var out []int
	for i := range g.served {
		if g.squares[i][i] >= runsMin*g.count {
			out = append(out, i)
		}
	}
	return out
}

// usual returns the calls of a callee for each run, over all routes alike.
func (g *Graph) usual(active []int, k int) float64 {
	calls, runs := 0.0, 0.0
	for _, i := range active {
		calls += g.crossed[i][k]
		for _, j := range active {
			runs += g.squares[i][j]
		}
	}
	if runs == 0 {
		return 0
	}
	return calls / runs
}

// noise returns the variance of a callee's calls in a stretch that the runs do
// not explain.
func (g *Graph) noise(active []int, k int) float64 {
	factors, ok := g.factors(active, k, ridge, 0)
	if !ok {
		return g.power[k] / g.count
	}
	explained := 0.0
	for at, i := range active {
		explained += factors[at] * g.crossed[i][k]
	}
	return max(g.power[k]-explained, ridge) / max(g.count-float64(len(active)), 1)
}

// factors solves the normal equations. weight draws each factor towards usual.
func (g *Graph) factors(active []int, k int, weight, usual float64) ([]float64, bool) {
	n := len(active)
	var m matrix
	right := make([]float64, n)
	for at, i := range active {
		for to, j := range active {
			m[at][to] = g.squares[i][j]
		}
		m[at][at] += weight
		right[at] = g.crossed[i][k] + weight*usual
	}
	return solve(&m, right)
}

type matrix [routesMax][routesMax]float64

// solve returns the solution of a system of linear equations, and false when
// there is none.
func solve(m *matrix, right []float64) ([]float64, bool) {
	n := len(right)
	for i := range n {
		pivot := m[i][i]
		if math.Abs(pivot) < pivotMin {
			return nil, false
		}
		for r := range n {
			if r == i {
				continue
			}
			factor := m[r][i] / pivot
			for j := i; j < n; j++ {
				m[r][j] -= factor * m[i][j]
			}
			right[r] -= factor * right[i]
		}
	}
	for i := range n {
		right[i] /= m[i][i]
	}
	return right, true
}

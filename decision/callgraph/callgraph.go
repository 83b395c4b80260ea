// Package callgraph infers from counts alone which routes an endpoint calls while it
// runs each of its own routes. Calls of an endpoint need not name the request that they
// are made for; without the graph, an overload of a downstream service could not be
// rejected at the request that causes it.
//
// The number of calls to a callee in an interval is a sum over the served routes: the
// runs of each route times its calls per run. Runs of different routes vary
// independently, so least squares over many intervals yields the calls per run.
package callgraph

import (
	"math"
	"slices"
	"time"
)

const (
	// interval is the time over which runs and calls are counted together. It is longer
	// than a typical run.
	interval = 500 * time.Millisecond
	// decayFactor is the factor by which earlier sums decay per interval. The half-life
	// is about 14 s.
	decayFactor = 0.975
	// callsPerRunMin is the minimum number of calls per run for an edge.
	callsPerRunMin = 0.3
	// callsPerRunShare is the minimum number of calls per run for an edge, as a share of
	// the mean over all routes.
	callsPerRunShare = 0.3
	// runsMeanSquareMin is the minimum mean square of the runs per interval for a route
	// to take part in the regression.
	runsMeanSquareMin = 0.5
	// intervalsMin is the minimum weight of the counted intervals for an estimate.
	intervalsMin = 3
	// routesMax bounds the served routes and the callees.
	routesMax = 16
	// ridge is the regularisation that keeps the equations soluble when the runs of
	// routes are collinear.
	ridge = 1e-3
	// pivotMin is the smallest pivot that is not treated as zero.
	pivotMin = 1e-9
)

// Graph infers the call graph of one endpoint. It is not safe for concurrent use.
type Graph struct {
	served          []string
	callees         []string
	runs            [routesMax]float64 // by served route, in this interval
	calls           [routesMax]float64 // by callee, in this interval
	runProducts     matrix             // decayed sums by served route and served route
	runCallProducts matrix             // decayed sums by served route and callee
	callSquares     [routesMax]float64 // decayed sums by callee
	intervalWeight  float64            // decayed number of intervals
	intervalStart   time.Duration
	edges           map[string][]string
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{edges: make(map[string][]string)}
}

// RecordStart records the start of a run of a route.
func (g *Graph) RecordStart(route string) {
	g.recordHalfRun(route)
}

// RecordEnd records the end of a run of a route. A run counts half at its start and half
// at its end, because its calls lie in between.
func (g *Graph) RecordEnd(route string) {
	g.recordHalfRun(route)
}

func (g *Graph) recordHalfRun(route string) {
	index := slices.Index(g.served, route)
	if index < 0 && len(g.served) < routesMax {
		index = len(g.served)
		g.served = append(g.served, route)
	} else if index < 0 {
		index = g.leastRun()
		g.replaceServed(index, route)
	}
	g.runs[index] += 0.5
}

// leastRun returns the index of the served route with the fewest recent runs, which is
// replaced by a new one. Operators add and remove routes, so unused ones are evicted.
func (g *Graph) leastRun() int {
	leastRun := 0
	for i := range g.served {
		if g.runProducts[i][i]+g.runs[i] < g.runProducts[leastRun][leastRun]+g.runs[leastRun] {
			leastRun = i
		}
	}
	return leastRun
}

// replaceServed replaces a served route by another one and clears its counts.
func (g *Graph) replaceServed(index int, route string) {
	delete(g.edges, g.served[index])
	g.served[index] = route
	g.runs[index] = 0
	g.runCallProducts[index] = [routesMax]float64{}
	g.runProducts[index] = [routesMax]float64{}
	for i := range g.runProducts {
		g.runProducts[i][index] = 0
	}
}

// RecordCall records that the endpoint called a route of another service.
func (g *Graph) RecordCall(route string) {
	index := slices.Index(g.callees, route)
	if index < 0 && len(g.callees) < routesMax {
		index = len(g.callees)
		g.callees = append(g.callees, route)
	} else if index < 0 {
		index = g.leastCalled()
		g.replaceCallee(index, route)
	}
	g.calls[index]++
}

// leastCalled returns the index of the callee with the fewest recent calls.
func (g *Graph) leastCalled() int {
	least := 0
	for k := range g.callees {
		if g.callSquares[k]+g.calls[k] < g.callSquares[least]+g.calls[least] {
			least = k
		}
	}
	return least
}

// replaceCallee replaces a callee by another one and clears its counts.
func (g *Graph) replaceCallee(index int, route string) {
	g.callees[index] = route
	g.calls[index], g.callSquares[index] = 0, 0
	for i := range g.runCallProducts {
		g.runCallProducts[i][index] = 0
	}
}

// Callees returns the routes that the endpoint calls while it runs a route. Before the
// first estimate it returns all callees, because an overload may occur within the first
// second after a restart.
func (g *Graph) Callees(route string) []string {
	if !g.Learned() {
		return g.callees
	}
	return g.edges[route]
}

// Learned reports whether the edges were estimated at least once.
func (g *Graph) Learned() bool {
	return g.intervalWeight >= intervalsMin
}

// Tick ends the current interval when its time is over and updates the edges.
func (g *Graph) Tick(now time.Duration) {
	if now-g.intervalStart < interval {
		return
	}
	if now-g.intervalStart < 2*interval {
		g.accumulate()
		g.updateEdges()
	}
	g.intervalStart = now
	g.runs = [routesMax]float64{}
	g.calls = [routesMax]float64{}
}

// accumulate adds the counts of the interval to the decayed sums.
func (g *Graph) accumulate() {
	g.intervalWeight = g.intervalWeight*decayFactor + 1
	for i := range g.served {
		for j := range g.served {
			g.runProducts[i][j] = g.runProducts[i][j]*decayFactor + g.runs[i]*g.runs[j]
		}
		for k := range g.callees {
			g.runCallProducts[i][k] = g.runCallProducts[i][k]*decayFactor + g.runs[i]*g.calls[k]
		}
	}
	for k := range g.callees {
		g.callSquares[k] = g.callSquares[k]*decayFactor + g.calls[k]*g.calls[k]
	}
}

// updateEdges estimates the calls per run and rebuilds the edges. With few samples the
// estimate of each route is close to the mean over all routes.
func (g *Graph) updateEdges() {
	clear(g.edges)
	activeRoutes := g.activeRoutes()
	if !g.Learned() || len(activeRoutes) == 0 {
		return
	}
	for k, callee := range g.callees {
		meanCallsPerRun := g.meanCallsPerRun(activeRoutes, k)
		if meanCallsPerRun == 0 {
			continue
		}
		residualVariance := g.residualVariance(activeRoutes, k)
		callsPerRun, ok := g.callsPerRun(activeRoutes, k, residualVariance/(meanCallsPerRun*meanCallsPerRun), meanCallsPerRun)
		if !ok {
			continue
		}
		for n, i := range activeRoutes {
			if callsPerRun[n] > max(callsPerRunMin, meanCallsPerRun*callsPerRunShare) {
				g.edges[g.served[i]] = append(g.edges[g.served[i]], callee)
			}
		}
	}
}

// activeRoutes returns the indices of the served routes with enough recent runs.
func (g *Graph) activeRoutes() []int {
	var out []int
	for i := range g.served {
		if g.runProducts[i][i] >= runsMeanSquareMin*g.intervalWeight {
			out = append(out, i)
		}
	}
	return out
}

// meanCallsPerRun returns the mean calls of a callee per run over all active routes.
func (g *Graph) meanCallsPerRun(active []int, k int) float64 {
	calls, runs := 0.0, 0.0
	for _, i := range active {
		calls += g.runCallProducts[i][k]
		for _, j := range active {
			runs += g.runProducts[i][j]
		}
	}
	if runs == 0 {
		return 0
	}
	return calls / runs
}

// residualVariance returns the variance of a callee's calls per interval that the runs
// do not explain.
func (g *Graph) residualVariance(active []int, k int) float64 {
	callsPerRun, ok := g.callsPerRun(active, k, ridge, 0)
	if !ok {
		return g.callSquares[k] / g.intervalWeight
	}
	explained := 0.0
	for n, i := range active {
		explained += callsPerRun[n] * g.runCallProducts[i][k]
	}
	return max(g.callSquares[k]-explained, ridge) / max(g.intervalWeight-float64(len(active)), 1)
}

// callsPerRun solves the normal equations for the calls per run of each active
// route. They are regularised towards prior with the given weight.
func (g *Graph) callsPerRun(active []int, k int, weight, prior float64) ([]float64, bool) {
	n := len(active)
	var m matrix
	right := make([]float64, n)
	for row, i := range active {
		for column, j := range active {
			m[row][column] = g.runProducts[i][j]
		}
		m[row][row] += weight
		right[row] = g.runCallProducts[i][k] + weight*prior
	}
	return solveLinear(&m, right)
}

type matrix [routesMax][routesMax]float64

// solveLinear solves a system of linear equations by Gauss-Jordan elimination. It
// returns false if a pivot is too small.
func solveLinear(m *matrix, right []float64) ([]float64, bool) {
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

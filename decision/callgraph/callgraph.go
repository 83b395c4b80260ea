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
	"time"
)

const (
	// stretch is the time over which runs and calls are counted together. It is
	// longer than a usual run.
	stretch = 500 * time.Millisecond
	// forget is the weight of what was known when a stretch is added; half of it
	// is gone after about 14 s.
	forget = 0.975
	// callsMin is the least number of calls that a run makes of a callee, taken
	// off its standard error.
	callsMin = 0.3
	// stretchesMin is the number of stretches from which on the factors count.
	stretchesMin = 3
	// routesMax bounds the routes on each side.
	routesMax = 16
	// ridge keeps the equations soluble while a route has no runs.
	ridge = 1e-3
)

// Graph learns the calls of one endpoint. It is not safe for concurrent use.
type Graph struct {
	served  []string
	callees []string
	runs    [routesMax]float64 // of each served route in this stretch
	calls   [routesMax]float64 // of each callee in this stretch
	squares [routesMax][routesMax]float64
	crossed [routesMax][routesMax]float64 // served by callee
	power   [routesMax]float64            // of each callee
	count   float64
	began   time.Duration
	edges   map[string][]string
}

// New returns an empty graph.
func New() *Graph {
	return &Graph{edges: make(map[string][]string)}
}

// Started takes in that the endpoint began to run a request of a route.
func (g *Graph) Started(route string) {
	g.half(route)
}

// Ended takes in that the endpoint ended a run of a route. A run counts half
// where it begins and half where it ends, as its calls lie between.
func (g *Graph) Ended(route string) {
	g.half(route)
}

func (g *Graph) half(route string) {
	if at := place(&g.served, route); at >= 0 {
		g.runs[at] += 0.5
	}
}

// Called takes in that the endpoint made a call of a route.
func (g *Graph) Called(route string) {
	if at := place(&g.callees, route); at >= 0 {
		g.calls[at]++
	}
}

// Callees returns the routes that the endpoint calls while it runs a route.
func (g *Graph) Callees(route string) []string {
	return g.edges[route]
}

// place returns the index of a name in a list, which grows up to routesMax.
func place(list *[]string, name string) int {
	for i, have := range *list {
		if have == name {
			return i
		}
	}
	if len(*list) == routesMax {
		return -1
	}
	*list = append(*list, name)
	return len(*list) - 1
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

// solve finds the calls that a run makes and draws the edges anew.
func (g *Graph) solve() {
	clear(g.edges)
	if g.count < stretchesMin {
		return
	}
	n := len(g.served)
	inverse, ok := invert(&g.squares, n)
	if !ok {
		return
	}
	for k, callee := range g.callees {
		var factors [routesMax]float64
		explained := 0.0
		for i := range n {
			for j := range n {
				factors[i] += inverse[i][j] * g.crossed[j][k]
			}
			explained += factors[i] * g.crossed[i][k]
		}
		noise := max(g.power[k]-explained, 0) / max(g.count-float64(n), 1)
		for i, route := range g.served {
			spread := math.Sqrt(noise * max(inverse[i][i], 0))
			if factors[i]-spread > callsMin {
				g.edges[route] = append(g.edges[route], callee)
			}
		}
	}
}

// invert returns the inverse of the first n rows and columns of a matrix.
func invert(m *[routesMax][routesMax]float64, n int) (out [routesMax][routesMax]float64, ok bool) {
	work := *m
	for i := range n {
		work[i][i] += ridge
		out[i][i] = 1
	}
	for i := range n {
		pivot := work[i][i]
		if math.Abs(pivot) < ridge/2 {
			return out, false
		}
		for j := range n {
			work[i][j] /= pivot
			out[i][j] /= pivot
		}
		for r := range n {
			if r == i {
				continue
			}
			factor := work[r][i]
			for j := range n {
				work[r][j] -= factor * work[i][j]
				out[r][j] -= factor * out[i][j]
			}
		}
	}
	return out, true
}

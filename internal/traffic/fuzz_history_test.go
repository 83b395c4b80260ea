package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
)

const (
	// faultsEndAtMs is the time at which partitions and pauses end, from the start.
	faultsEndAtMs = 2500
	// settleTime exceeds the duration of any call.
	settleTime = 3 * fuzzRouteTimeoutMs * time.Millisecond
)

// history is the execution of one script on real nodes.
type history struct {
	script       *script
	network      *network
	observations *observations
	tally        *tally
	index        *catalogue.Index
	over         atomic.Bool

	mu            sync.Mutex
	nodes         []*fuzzNode
	endpoints     []*fuzzEndpoint
	replacedNodes []*fuzzNode
	suspects      map[uint64]int
	runs          int
	incarnations  uint64
}

func newHistory(s *script, tl *tally) *history {
	return &history{
		script:       s,
		network:      newNetwork(s.Conns, tl),
		observations: newObservations(),
		tally:        tl,
		index:        catalogue.NewIndex(fuzzCatalogue(s.Nodes, s.Records)),
		suspects:     make(map[uint64]int),
		incarnations: 1,
	}
}

// play executes the script inside a synctest bubble and returns the findings of
// the oracle.
func (h *history) play() []finding {
	for i := range h.script.Nodes {
		e := &fuzzEndpoint{history: h, location: locationOf(i)}
		e.start()
		h.endpoints = append(h.endpoints, e)
		n := h.startNode(locationOf(i), h.incarnations, initialAge)
		h.mu.Lock()
		h.nodes = append(h.nodes, n)
		h.mu.Unlock()
	}
	var group sync.WaitGroup
	for i := range h.script.Requests {
		group.Go(func() { h.runCaller(i, &h.script.Requests[i]) })
	}
	for i := range h.script.Events {
		group.Go(func() { h.applyEvent(&h.script.Events[i]) })
	}
	time.Sleep(faultsEndAtMs * time.Millisecond)
	h.network.endFaults()
	group.Wait()
	time.Sleep(settleTime)
	found := checkHistory(h)
	h.stopAll()
	return found
}

// stopAll stops all processes and connections.
func (h *history) stopAll() {
	h.over.Store(true)
	for _, n := range append(h.nodes, h.replacedNodes...) {
		n.crash(h.network)
	}
	for _, e := range h.endpoints {
		e.stop()
	}
	h.network.close()
}

// applyEvent applies one planned fault of the fleet.
func (h *history) applyEvent(e *eventPlan) {
	time.Sleep(time.Duration(e.AtMs) * time.Millisecond)
	h.tally.add(actionNames[e.Action])
	number := e.Node % h.script.Nodes
	p := locationOf(number)
	duration := time.Duration(e.ForMs) * time.Millisecond
	switch e.Action {
	case actionReplace:
		h.replace(number, duration)
	case actionLeave:
		h.node(number).traffic.Leave()
		time.Sleep(fuzzRouteTimeoutMs * time.Millisecond)
		h.replace(number, duration)
	case actionPause:
		h.network.pause(p.vm, true)
		time.Sleep(duration)
		h.network.pause(p.vm, false)
	case actionPartition:
		h.network.partition(p.zone)
		time.Sleep(duration)
		h.network.partition("")
	case actionSilence:
		h.network.silence()
	case actionAbortEndpoint:
		h.endpoints[number].closeConns()
	}
}

func (h *history) node(number int) *fuzzNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[number]
}

// replace ends the process of a node and starts a new one without state after a
// while.
func (h *history) replace(number int, after time.Duration) {
	old := h.node(number)
	old.crash(h.network)
	time.Sleep(after)
	h.mu.Lock()
	h.incarnations++
	incarnation := h.incarnations
	h.mu.Unlock()
	n := h.startNode(old.location, incarnation, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replacedNodes = append(h.replacedNodes, h.nodes[number])
	h.nodes[number] = n
}

// nextRun returns the plan of the next run at an endpoint.
func (h *history) nextRun() runPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	plan := h.script.Runs[h.runs%len(h.script.Runs)]
	h.runs++
	return plan
}

package traffic

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
)

const (
	// healAfterMs is the time at which everything held back is let go.
	healAfterMs = 2500
	// settleTime is longer than any call may take.
	settleTime = 3 * fuzzRouteTimeoutMs * time.Millisecond
)

// history is one script being played on real nodes.
type history struct {
	script  *script
	network *network
	ledger  *ledger
	tally   *tally
	index   *catalogue.Index
	over    atomic.Bool

	mu        sync.Mutex
	nodes     []*fuzzNode
	endpoints []*fuzzEndpoint
	ghosts    []*fuzzNode
	suspects  map[uint64]int
	runs      int
	lives     uint64
}

func newHistory(s *script, tl *tally) *history {
	return &history{
		script:   s,
		network:  newNetwork(s.Conns, tl),
		ledger:   newLedger(),
		tally:    tl,
		index:    catalogue.NewIndex(fuzzCatalogue(s.Nodes, s.Records)),
		suspects: make(map[uint64]int),
		lives:    1,
	}
}

// play runs the whole script inside a bubble and returns what the oracle finds.
func (h *history) play() []finding {
	for i := range h.script.Nodes {
		e := &fuzzEndpoint{history: h, place: placeOf(i)}
		e.start()
		h.endpoints = append(h.endpoints, e)
		n := h.startNode(placeOf(i), h.lives, firstAge)
		h.mu.Lock()
		h.nodes = append(h.nodes, n)
		h.mu.Unlock()
	}
	var group sync.WaitGroup
	for i := range h.script.Requests {
		group.Go(func() { h.caller(i, &h.script.Requests[i]) })
	}
	for i := range h.script.Events {
		group.Go(func() { h.happen(&h.script.Events[i]) })
	}
	time.Sleep(healAfterMs * time.Millisecond)
	h.network.heal()
	group.Wait()
	time.Sleep(settleTime)
	found := judgeHistory(h)
	h.end()
	return found
}

// end takes everything down.
func (h *history) end() {
	h.over.Store(true)
	for _, n := range append(h.nodes, h.ghosts...) {
		n.crash(h.network)
	}
	for _, e := range h.endpoints {
		e.stop()
	}
	h.network.close()
}

// happen plays one fault of the fleet.
func (h *history) happen(e *eventPlan) {
	time.Sleep(time.Duration(e.AtMs) * time.Millisecond)
	h.tally.add(actionNames[e.Action])
	number := e.Node % h.script.Nodes
	p := placeOf(number)
	lasts := time.Duration(e.ForMs) * time.Millisecond
	switch e.Action {
	case actionReplace:
		h.replace(number, lasts)
	case actionLeave:
		h.node(number).traffic.Leave()
		time.Sleep(fuzzRouteTimeoutMs * time.Millisecond)
		h.replace(number, lasts)
	case actionPause:
		h.network.pause(p.vm, true)
		time.Sleep(lasts)
		h.network.pause(p.vm, false)
	case actionPart:
		h.network.part(p.zone)
		time.Sleep(lasts)
		h.network.part("")
	case actionSilence:
		h.network.silence()
	case actionAbortEndpoint:
		h.endpoints[number].abort()
	}
}

func (h *history) node(number int) *fuzzNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[number]
}

// replace ends the process of a node and starts an empty one in its place.
func (h *history) replace(number int, after time.Duration) {
	old := h.node(number)
	old.crash(h.network)
	time.Sleep(after)
	h.mu.Lock()
	h.lives++
	life := h.lives
	h.mu.Unlock()
	n := h.startNode(old.place, life, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ghosts = append(h.ghosts, h.nodes[number])
	h.nodes[number] = n
}

// nextRun returns how the next run at an endpoint goes.
func (h *history) nextRun() runPlan {
	h.mu.Lock()
	defer h.mu.Unlock()
	plan := h.script.Runs[h.runs%len(h.script.Runs)]
	h.runs++
	return plan
}

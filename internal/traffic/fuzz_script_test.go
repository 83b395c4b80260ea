package traffic

import "pgregory.net/rapid"

// keyKind is the idempotency key of a request.
type keyKind uint8

const (
	keyNone keyKind = iota
	keyToken
	keyOwn
)

// requestPlan is one request of a caller and all its sendings.
type requestPlan struct {
	AtMs    int
	Path    string
	Method  string
	Key     keyKind
	TokenAt int // number of the node that issues the token
	Crash   bool
	Sends   []sendPlan
	Fence   bool
	FenceAt int
}

// sendPlan is one sending of a request.
type sendPlan struct {
	Node       int
	GapMs      int // time since the sending before
	PatienceMs int // time after which the caller gives up
	Wait       bool
}

// action is what happens to a node.
type action uint8

const (
	actionReplace action = iota // crash, and a new process at the same address
	actionPause
	actionLeave // planned stop, and a new process at the same address
	actionPart  // the node's availability zone is cut off
	actionSilence
	actionAbortEndpoint // all connections of the endpoint end
)

var actionNames = []string{"replace", "pause", "leave", "part", "silence", "abort-endpoint"}

// eventPlan is one fault of the fleet.
type eventPlan struct {
	AtMs   int
	Action action
	Node   int
	ForMs  int
}

// manner is how an endpoint runs a call.
type manner uint8

const (
	mannerAnswer manner = iota
	mannerRefuse
	mannerAbort    // the connection ends without an answer
	mannerTruncate // a declared length that is not reached
	mannerBreak    // a chunked answer that breaks off
	mannerLarge
	mannerChunked
)

var mannerNames = []string{"answer", "refuse", "abort", "truncate", "break", "large", "chunked"}

// runPlan is how one run at an endpoint goes.
type runPlan struct {
	Manner manner
	SlowMs int
	Resend bool // the endpoint sends a failed call of its own once more
}

// script is one history.
type script struct {
	Nodes    int
	Records  int
	Requests []requestPlan
	Events   []eventPlan
	Conns    []connPlan
	Runs     []runPlan
}

const (
	startWithinMs = 1500
	nodesMin      = 3
	nodesMax      = 5
	recordsFew    = 3
	recordsMany   = 1000
)

// scripts draws histories.
var scripts = rapid.Custom(func(t *rapid.T) script {
	s := script{
		Nodes:   rapid.IntRange(nodesMin, nodesMax).Draw(t, "nodes"),
		Records: rapid.SampledFrom([]int{recordsMany, recordsMany, recordsMany, recordsFew}).Draw(t, "records"),
	}
	s.Requests = rapid.SliceOfN(rapid.Custom(drawRequest), 1, 6).Draw(t, "requests")
	s.Events = rapid.SliceOfN(rapid.Custom(drawEvent), 0, 3).Draw(t, "events")
	s.Conns = rapid.SliceOfN(rapid.Custom(drawConn), 1, 8).Draw(t, "conns")
	s.Runs = rapid.SliceOfN(rapid.Custom(drawRun), 1, 6).Draw(t, "runs")
	return s
})

func drawRequest(t *rapid.T) requestPlan {
	r := requestPlan{
		AtMs:   rapid.IntRange(0, startWithinMs).Draw(t, "at"),
		Path:   rapid.SampledFrom([]string{"/deep", "/deep", "/middle"}).Draw(t, "path"),
		Method: rapid.SampledFrom([]string{"GET", "POST", "POST", "POST"}).Draw(t, "method"),
		Crash:  rapid.IntRange(0, 11).Draw(t, "crash") == 0,
	}
	sends := 1
	if r.Method == "POST" {
		r.Key = rapid.SampledFrom([]keyKind{keyToken, keyToken, keyToken, keyOwn, keyNone}).Draw(t, "key")
		r.TokenAt = rapid.IntRange(0, nodesMax-1).Draw(t, "tokenAt")
	}
	if r.Key != keyNone {
		sends = rapid.IntRange(1, 4).Draw(t, "sends")
	}
	if r.Key == keyToken {
		r.Fence = rapid.IntRange(0, 2).Draw(t, "fence") == 0
		r.FenceAt = rapid.IntRange(0, nodesMax-1).Draw(t, "fenceAt")
	}
	for range sends {
		r.Sends = append(r.Sends, drawSend(t, &r))
	}
	return r
}

func drawSend(t *rapid.T, r *requestPlan) sendPlan {
	gapMax := 300
	if r.Key == keyToken && rapid.IntRange(0, 5).Draw(t, "long") == 0 {
		gapMax = 4000
	}
	s := sendPlan{
		Node:       rapid.IntRange(0, nodesMax-1).Draw(t, "node"),
		GapMs:      rapid.IntRange(0, gapMax).Draw(t, "gap"),
		PatienceMs: rapid.IntRange(20, 1000).Draw(t, "patience"),
		Wait:       rapid.Bool().Draw(t, "wait"),
	}
	if r.Crash {
		s.PatienceMs = 3000
		s.Wait = true
	}
	return s
}

func drawEvent(t *rapid.T) eventPlan {
	return eventPlan{
		AtMs:   rapid.IntRange(0, startWithinMs).Draw(t, "at"),
		Action: action(rapid.IntRange(0, len(actionNames)-1).Draw(t, "action")),
		Node:   rapid.IntRange(0, nodesMax-1).Draw(t, "node"),
		ForMs:  rapid.IntRange(20, 900).Draw(t, "for"),
	}
}

func drawConn(t *rapid.T) connPlan {
	if rapid.Bool().Draw(t, "fine") {
		return connPlan{}
	}
	return connPlan{
		Fault:   connFault(rapid.IntRange(1, len(faultNames)-1).Draw(t, "fault")),
		Piece:   rapid.IntRange(0, 5).Draw(t, "piece"),
		DelayMs: rapid.IntRange(1, 700).Draw(t, "delay"),
	}
}

func drawRun(t *rapid.T) runPlan {
	r := runPlan{Resend: rapid.Bool().Draw(t, "resend")}
	if rapid.Bool().Draw(t, "odd") {
		r.Manner = manner(rapid.IntRange(0, len(mannerNames)-1).Draw(t, "manner"))
	}
	if rapid.Bool().Draw(t, "slow") {
		r.SlowMs = rapid.IntRange(1, 400).Draw(t, "slowMs")
	}
	return r
}

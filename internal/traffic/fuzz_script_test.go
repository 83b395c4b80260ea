package traffic

import "pgregory.net/rapid"

// keyKind is the kind of a request's idempotency key.
type keyKind uint8

const (
	keyNone keyKind = iota
	keyToken
	keyOwn
)

// requestPlan is one request of a caller with all its sends.
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

// sendPlan is one send of a request.
type sendPlan struct {
	Node      int
	GapMs     int // time since the previous send
	TimeoutMs int // time after which the caller aborts
	Wait      bool
}

// action is a fault of a node or its surroundings.
type action uint8

const (
	actionReplace action = iota // a crash, then a new process at the same address
	actionPause
	actionLeave     // a planned stop, then a new process at the same address
	actionPartition // the node's availability zone is partitioned
	actionSilence
	actionAbortEndpoint // all connections of the endpoint are closed
)

var actionNames = []string{"replace", "pause", "leave", "part", "silence", "abort-endpoint"}

// eventPlan is one planned fault of the fleet.
type eventPlan struct {
	AtMs   int
	Action action
	Node   int
	ForMs  int
}

// behaviour is the way in which an endpoint answers a call.
type behaviour uint8

const (
	behaviourAnswer behaviour = iota
	behaviourRefuse
	behaviourAbort    // the connection is closed without an answer
	behaviourTruncate // the body is shorter than its Content-Length
	behaviourBreak    // a chunked answer is cut off
	behaviourLarge
	behaviourChunked
)

var behaviourNames = []string{"answer", "refuse", "abort", "truncate", "break", "large", "chunked"}

// runPlan is the plan of one run at an endpoint.
type runPlan struct {
	Behaviour behaviour
	SlowMs    int
	Resend    bool // the endpoint resends a failed downstream call once
}

// script is the plan of one history.
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
	fewRecords    = 3
	manyRecords   = 1000
)

// scripts generates random scripts.
var scripts = rapid.Custom(func(t *rapid.T) script {
	s := script{
		Nodes:   rapid.IntRange(nodesMin, nodesMax).Draw(t, "nodes"),
		Records: rapid.SampledFrom([]int{manyRecords, manyRecords, manyRecords, fewRecords}).Draw(t, "records"),
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
		Node:      rapid.IntRange(0, nodesMax-1).Draw(t, "node"),
		GapMs:     rapid.IntRange(0, gapMax).Draw(t, "gap"),
		TimeoutMs: rapid.IntRange(20, 1000).Draw(t, "patience"),
		Wait:      rapid.Bool().Draw(t, "wait"),
	}
	if r.Crash {
		s.TimeoutMs = 3000
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
		r.Behaviour = behaviour(rapid.IntRange(0, len(behaviourNames)-1).Draw(t, "manner"))
	}
	if rapid.Bool().Draw(t, "slow") {
		r.SlowMs = rapid.IntRange(1, 400).Draw(t, "slowMs")
	}
	return r
}

package calllink

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// Handler runs a call from another node. ctx is cancelled when that node cancels the call.
type Handler func(ctx context.Context, call *Call) *Reply

// Acceptor serves links that other nodes open.
type Acceptor struct {
	handler       Handler
	importState   func(state []byte)
	recordCrashes func([]quarantine.Loss)
	exportCrashes func() (crashes []quarantine.Loss, complete bool)
	now           func() time.Duration
	memory        *memory.Budget

	mu      sync.Mutex
	streams map[*stream]struct{}
}

// NewAcceptor returns an acceptor that passes calls to handler. importState receives the
// deployment state that another node sends after RequestState, and recordCrashes the
// endpoint crashes that other nodes report. Calls are charged to budget.
func NewAcceptor(handler Handler, importState func(state []byte), recordCrashes func([]quarantine.Loss), now func() time.Duration, budget *memory.Budget) *Acceptor {
	return &Acceptor{handler: handler, importState: importState, recordCrashes: recordCrashes, now: now, memory: budget, streams: make(map[*stream]struct{})}
}

// SetCrashExport sets the function that returns the crashes known to this node, for nodes
// that have just started. complete is false while this node has not yet learned the crashes
// that others know. It must be called before the acceptor serves links.
func (a *Acceptor) SetCrashExport(export func() (crashes []quarantine.Loss, complete bool)) {
	a.exportCrashes = export
}

// RequestState requests the deployment state from one of the nodes with a link to this one.
// It returns false if the request could not be sent.
func (a *Acceptor) RequestState() bool {
	a.mu.Lock()
	var peer *stream
	for peer = range a.streams {
		break // map iteration order is random
	}
	a.mu.Unlock()
	return peer != nil && peer.send(&frame{Kind: kindStateRequest}) == nil
}

// ServeHTTP accepts a link and serves it until it is closed.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true, Subprotocols: []string{subprotocolPieces}})
	if err != nil {
		return // Accept has written the error response
	}
	s := newStream(socket)
	a.add(s)
	defer a.remove(s)
	inboundLink := &inboundLink{acceptor: a, stream: s, calls: make(map[uint64]*inboundCall), arriving: make(map[uint64]*arrivingBody)}
	_ = s.read(a.now, inboundLink.handleFrame) // the calling node detects the closed link itself
	inboundLink.cancelCalls()
}

func (a *Acceptor) add(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams[s] = struct{}{}
}

func (a *Acceptor) remove(s *stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, s)
}

// Close closes every link. Running calls are cancelled.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.close()
	}
}

// inboundLink is one link on the side of the node that runs the calls.
type inboundLink struct {
	acceptor *Acceptor
	stream   *stream
	arriving map[uint64]*arrivingBody // by the ID of the call; used by the reading goroutine only

	mu    sync.Mutex
	calls map[uint64]*inboundCall
}

// inboundCall is a call without a reply.
type inboundCall struct {
	cancel   context.CancelFunc
	withdraw func()
}

// arrivingBody are the pieces of the body of a call that has not arrived.
type arrivingBody struct {
	memory  *memory.Lease
	body    message.Body
	refused bool // there was no memory; further pieces and the call are dropped
}

// call returns the call with an ID, or nil if it has ended.
func (l *inboundLink) call(id uint64) *inboundCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[id]
}

func (l *inboundLink) handleFrame(f *frame) {
	switch f.Kind {
	case kindCall:
		if f.Call != nil {
			l.admitCall(f.ID, f.Call)
		}
	case kindBody:
		l.addPiece(f.ID, f.State)
	case kindCancel:
		l.dropArriving(f.ID)
		if one := l.call(f.ID); one != nil {
			one.cancel()
		}
	case kindWithdraw:
		if one := l.call(f.ID); one != nil {
			one.withdraw()
		}
	case kindState:
		l.acceptor.importState(f.State)
	case kindCrashes:
		if handleCrashes(l.stream, f, l.acceptor.recordCrashes) {
			_ = l.stream.send(&frame{Kind: kindReply, ID: f.ID, Reply: &Reply{}}) // a failed send closes the link
		}
	case kindCrashRequest:
		l.sendKnownCrashes(f.ID)
	case kindPing:
		_ = l.stream.send(&frame{Kind: kindPong}) // a failed send closes the link
	}
}

// addPiece adds a piece to the body of a call that has not arrived, or refuses that call.
func (l *inboundLink) addPiece(id uint64, piece []byte) {
	a := l.arriving[id]
	if a == nil {
		a = &arrivingBody{memory: l.acceptor.memory.NewCall()}
		l.arriving[id] = a
	}
	switch {
	case a.refused:
	case a.memory.TryGrow(len(piece)):
		a.body = append(a.body, piece)
	default:
		a.memory.Release()
		a.body, a.refused = nil, true
		l.refuseForMemory(id)
	}
}

// dropArriving drops the pieces of a call.
func (l *inboundLink) dropArriving(id uint64) {
	if a := l.arriving[id]; a != nil && !a.refused {
		a.memory.Release()
	}
	delete(l.arriving, id)
}

func (l *inboundLink) refuseForMemory(id uint64) {
	reply := &Reply{Refused: RefusedNoMemory, Detail: "no memory for the call"}
	_ = l.stream.send(&frame{Kind: kindReply, ID: id, Reply: reply}) // a failed send closes the link
}

// admitCall starts a call whose pieces have arrived, unless there is no memory for it.
func (l *inboundLink) admitCall(id uint64, call *Call) {
	a := l.arriving[id]
	delete(l.arriving, id)
	switch {
	case a == nil:
		call.Memory = l.acceptor.memory.NewCall()
	case a.refused:
		return
	default:
		call.Memory = a.memory
	}
	if !call.Memory.TryGrow(call.size()) {
		call.Memory.Release()
		l.refuseForMemory(id)
		return
	}
	if a != nil {
		call.Body = append(a.body, call.Body...)
	}
	l.startCall(id, call)
}

func (l *inboundLink) startCall(id uint64, call *Call) {
	ctx, cancel := context.WithCancel(context.Background())
	withdrawn := make(chan struct{})
	call.Withdrawn = withdrawn
	l.mu.Lock()
	l.calls[id] = &inboundCall{cancel: cancel, withdraw: sync.OnceFunc(func() { close(withdrawn) })}
	l.mu.Unlock()
	go func() {
		defer cancel()
		reply := l.acceptor.handler(ctx, call)
		l.mu.Lock()
		delete(l.calls, id)
		l.mu.Unlock()
		l.sendCrashes(reply.Crashes)
		if !l.stream.mayHoldWhole(reply.Body, call.Memory) {
			reply = &Reply{Detail: "no memory to send the answer", Load: reply.Load}
		}
		_ = l.stream.send(&frame{Kind: kindReply, ID: id, Reply: reply, release: call.Memory.Release}) // a failed send closes the link
	}()
}

// sendKnownCrashes answers a request for all known crashes.
func (l *inboundLink) sendKnownCrashes(id uint64) {
	reply := &Reply{}
	if export := l.acceptor.exportCrashes; export != nil {
		crashes, complete := export()
		l.sendCrashes(crashes)
		if !complete {
			reply.Refused = RefusedStarting
		}
	}
	_ = l.stream.send(&frame{Kind: kindReply, ID: id, Reply: reply}) // a failed send closes the link
}

// sendCrashes reports crashes to the calling node before the reply that they belong to.
func (l *inboundLink) sendCrashes(crashes []quarantine.Loss) {
	if len(crashes) == 0 {
		return
	}
	if data, err := encodeCrashes(crashes); err == nil { // every value of a crash can be encoded
		_ = l.stream.send(&frame{Kind: kindCrashes, State: data}) // a failed send closes the link
	}
}

// cancelCalls cancels the calls of a closed link. Calls that must not run twice still
// finish: their handler ignores the cancellation.
func (l *inboundLink) cancelCalls() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range l.calls {
		one.cancel()
	}
	for id := range l.arriving {
		l.dropArriving(id)
	}
}

package calllink

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// Handler runs a call of another node. ctx ends when that node gives the call up.
type Handler func(ctx context.Context, call *Call) *Reply

// Acceptor takes links of other nodes.
type Acceptor struct {
	handler   Handler
	takeState func(state []byte)
	learn     func([]quarantine.Loss)
	now       func() time.Duration

	mu      sync.Mutex
	streams map[*stream]struct{}
}

// NewAcceptor returns an acceptor that hands calls to a handler, to takeState
// what another node told of the deployment after AskState, and to learn the crashes of
// endpoints that others tell.
func NewAcceptor(handler Handler, takeState func(state []byte), learn func([]quarantine.Loss), now func() time.Duration) *Acceptor {
	return &Acceptor{handler: handler, takeState: takeState, learn: learn, now: now, streams: make(map[*stream]struct{})}
}

// RequestState asks one of the nodes with a link to this one for what it knows of the
// deployment. It returns false when there is none.
func (a *Acceptor) RequestState() bool {
	a.mu.Lock()
	var asked *stream
	for asked = range a.streams {
		break // the order of a map is random
	}
	a.mu.Unlock()
	return asked != nil && asked.send(&frame{Kind: kindAskState}) == nil
}

// ServeHTTP takes one link and serves it until it ends.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{InsecureSkipVerify: true})
	if err != nil {
		return // Accept has answered
	}
	s := newStream(socket)
	a.add(s)
	defer a.remove(s)
	served := &served{acceptor: a, stream: s, cancels: make(map[uint64]context.CancelFunc)}
	_ = s.read(a.now, served.take) // the caller's side knows that its link ended
	served.abandon()
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

// Close ends every link, after the calls that run.
func (a *Acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range a.streams {
		s.close()
	}
}

// served is one link from the side that runs the calls.
type served struct {
	acceptor *Acceptor
	stream   *stream

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func (s *served) take(f *frame) {
	switch f.Kind {
	case kindCall:
		if f.Call != nil {
			s.start(f.ID, f.Call)
		}
	case kindCancel:
		s.mu.Lock()
		cancel := s.cancels[f.ID]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case kindState:
		s.acceptor.takeState(f.State)
	case kindLosses:
		if takeLosses(s.stream, f, s.acceptor.learn) {
			_ = s.stream.send(&frame{Kind: kindReply, ID: f.ID, Reply: &Reply{}}) // the link's end tells the same
		}
	case kindPing:
		_ = s.stream.send(&frame{Kind: kindPong}) // the link's end tells the same
	}
}

func (s *served) start(id uint64, call *Call) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancels[id] = cancel
	s.mu.Unlock()
	go func() {
		defer cancel()
		reply := s.acceptor.handler(ctx, call)
		s.mu.Lock()
		delete(s.cancels, id)
		s.mu.Unlock()
		s.tellLosses(reply.Crashes)
		_ = s.stream.send(&frame{Kind: kindReply, ID: id, Reply: reply}) // the caller's side knows that its link ended
	}()
}

// tellLosses tells the caller's side of crashes, ahead of the reply that they belong to.
func (s *served) tellLosses(losses []quarantine.Loss) {
	if len(losses) == 0 {
		return
	}
	if data, err := encodeLosses(losses); err == nil { // no loss holds a value that can't be encoded
		_ = s.stream.send(&frame{Kind: kindLosses, State: data}) // the caller's side knows that its link ended
	}
}

// abandon gives up the calls of a link that ended. Calls that must not run twice
// finish all the same: their handler ignores the end of ctx.
func (s *served) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancels {
		cancel()
	}
}

package calllink

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/galenacart/galenacart/decision/quarantine"
)

// session is one open WebSocket to another node, from the caller's side.
type session struct {
	stream *stream
	now    func() time.Duration
	state  func() []byte // what this node knows of the deployment
	learn  func([]quarantine.Loss)

	mu      sync.Mutex
	nextID  uint64
	calls   map[uint64]*open
	ended   bool
	proving *proof
}

// open is a call that waits for its reply.
type open struct {
	reply chan *Reply // closed without a reply when the session ends
	sent  bool
}

func newSession(socket *websocket.Conn, now func() time.Duration, state func() []byte, learn func([]quarantine.Loss)) *session {
	s := &session{stream: newStream(socket), now: now, state: state, learn: learn, calls: make(map[uint64]*open)}
	s.stream.sent = s.markSent
	s.stream.came.Store(int64(now()))
	return s
}

// ask sends a frame and waits for the reply to it.
func (s *session) ask(ctx context.Context, f *frame) (*Reply, error) {
	if !s.prove(ctx) {
		return nil, ErrNotSent
	}
	id, one := s.register()
	if one == nil {
		return nil, ErrNotSent
	}
	f.ID = id
	_ = s.stream.send(f) // the session's end tells the same
	select {
	case reply := <-one.reply:
		if reply != nil {
			return reply, nil
		}
		return nil, s.lost(one)
	case <-ctx.Done():
		s.forget(id)
		_ = s.stream.send(&frame{Kind: kindCancel, ID: id}) // a closed link cancels as well
		return nil, ctx.Err()
	}
}

func (s *session) register() (uint64, *open) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, nil
	}
	s.nextID++
	if len(s.calls) == 0 {
		s.stream.heard.Store(int64(s.now())) // nothing was due while no call was open
	}
	one := &open{reply: make(chan *Reply, 1)}
	s.calls[s.nextID] = one
	return s.nextID, one
}

// markSent notes that the bytes of a frame that is asked may leave the node from now on.
func (s *session) markSent(f *frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.calls[f.ID]; one != nil {
		one.sent = true
	}
}

func (s *session) lost(one *open) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one.sent {
		return ErrReplyLost
	}
	return ErrNotSent
}

func (s *session) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// take hands a reply to the call that waits for it, and tells what this node
// knows when it is asked.
func (s *session) take(f *frame) {
	s.proved()
	if f.Kind == kindAskState {
		if state := s.state(); state != nil {
			_ = s.stream.send(&frame{Kind: kindState, State: state}) // the other node asks again
		}
		return
	}
	if f.Kind == kindLosses {
		takeLosses(s.stream, f, s.learn)
		return
	}
	if f.Kind != kindReply || f.Reply == nil {
		return
	}
	s.mu.Lock()
	one := s.calls[f.ID]
	delete(s.calls, f.ID)
	s.mu.Unlock()
	if one != nil {
		one.reply <- f.Reply
	}
}

// open returns the number of calls that wait for their reply.
func (s *session) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func (s *session) ping() {
	_ = s.stream.send(&frame{Kind: kindPing}) // the session's end tells the same
}

// abandon ends all calls that wait for a reply.
func (s *session) abandon() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.endProof()
	for id, one := range s.calls {
		close(one.reply)
		delete(s.calls, id)
	}
}

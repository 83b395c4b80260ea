package calllink

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/galenacart/galenacart/decision/quarantine"
	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// session is one open WebSocket to another node, on the side of the calling node.
type session struct {
	stream        *stream
	now           func() time.Duration
	state         func() []byte // returns the deployment state, or nil
	recordCrashes func([]quarantine.Loss)

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]*pendingCall
	ended    bool
	liveness *livenessCheck
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	reply  chan *Reply // closed without a reply when the session ends
	sent   bool
	memory *memory.Lease // what the reply is charged to; may be nil
	body   message.Body  // the pieces of the reply's body
}

func newSession(socket *websocket.Conn, now func() time.Duration, state func() []byte, recordCrashes func([]quarantine.Loss)) *session {
	s := &session{stream: newStream(socket), now: now, state: state, recordCrashes: recordCrashes, pending: make(map[uint64]*pendingCall)}
	s.stream.beforeWrite = s.markSent
	s.stream.lastReceived.Store(int64(now()))
	return s
}

// request sends a frame and waits for the reply to it. When withdrawn is closed, the frame is
// taken back if it was not sent yet, or else the other node is told.
func (s *session) request(ctx context.Context, f *frame, withdrawn <-chan struct{}) (*Reply, error) {
	if !s.confirmAlive(ctx, withdrawn) {
		return nil, ErrNotSent
	}
	var lease *memory.Lease
	if f.Call != nil {
		lease = f.Call.Memory
	}
	if !s.stream.mayHoldWhole(f.body(), lease) {
		return nil, ErrNotSent
	}
	id, call := s.register(lease)
	if call == nil {
		return nil, ErrNotSent
	}
	f.ID = id
	_ = s.stream.send(f) // a failed send closes the session, which closes call.reply
	for {
		select {
		case reply := <-call.reply:
			if reply != nil {
				s.takeBackBegun(f) // it was refused before its whole body was sent
				return reply, nil
			}
			return nil, s.lostError(call)
		case <-ctx.Done():
			s.unregister(id)
			s.stream.takeBack(f)
			_ = s.stream.send(&frame{Kind: kindCancel, ID: id}) // a closed link cancels as well
			return nil, ctx.Err()
		case <-withdrawn:
			withdrawn = nil
			if s.takeBackBegun(f) {
				s.unregister(id)
				return nil, ErrNotSent
			}
			_ = s.stream.send(&frame{Kind: kindWithdraw, ID: id}) // a closed link ends the call as well
		}
	}
}

// takeBackBegun removes a frame from the queue, and has the other node drop the pieces of its body
// that were sent. It returns false if the frame itself may have been written.
func (s *session) takeBackBegun(f *frame) bool {
	if !s.stream.takeBack(f) {
		return false
	}
	if f.begun {
		_ = s.stream.send(&frame{Kind: kindCancel, ID: f.ID}) // a closed link cancels as well
	}
	return true
}

func (s *session) register(lease *memory.Lease) (uint64, *pendingCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return 0, nil
	}
	s.nextID++
	if len(s.pending) == 0 {
		s.stream.dueSince.Store(int64(s.now())) // no message was due while no call was pending
	}
	call := &pendingCall{reply: make(chan *Reply, 1), memory: lease}
	s.pending[s.nextID] = call
	return s.nextID, call
}

// markSent records that bytes of a request frame may leave the node from now on.
func (s *session) markSent(f *frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call := s.pending[f.ID]; call != nil {
		call.sent = true
	}
}

func (s *session) lostError(call *pendingCall) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.sent {
		return ErrReplyLost
	}
	return ErrNotSent
}

func (s *session) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

// handleFrame passes a reply to the pending call, sends the deployment state when it is
// requested, and records reported crashes.
func (s *session) handleFrame(f *frame) {
	s.recordActivity()
	if f.Kind == kindStateRequest {
		if state := s.state(); state != nil {
			_ = s.stream.send(&frame{Kind: kindState, State: state}) // the other node repeats its request
		}
		return
	}
	if f.Kind == kindCrashes {
		handleCrashes(s.stream, f, s.recordCrashes)
		return
	}
	if f.Kind == kindBody {
		s.addPiece(f.ID, f.State)
		return
	}
	if f.Kind != kindReply || f.Reply == nil {
		return
	}
	if call := s.remove(f.ID); call != nil {
		if f.Reply.Status != 0 {
			_ = call.memory.TryGrow(f.Reply.Body.Len()) // a short remainder, which is in memory already
			f.Reply.Body = append(call.body, f.Reply.Body...)
		}
		call.reply <- f.Reply
	}
}

// addPiece adds a piece to the body of the reply to a call. If there is no memory for it, the reply
// is lost.
func (s *session) addPiece(id uint64, piece []byte) {
	s.mu.Lock()
	call := s.pending[id]
	s.mu.Unlock()
	switch {
	case call == nil: // the call was cancelled
	case call.memory.TryGrow(len(piece)):
		call.body = append(call.body, piece)
	case s.remove(id) != nil:
		close(call.reply)
		_ = s.stream.send(&frame{Kind: kindCancel, ID: id}) // a closed link cancels as well
	}
}

// remove returns a pending call, which is no longer pending then, or nil.
func (s *session) remove(id uint64) *pendingCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.pending[id]
	delete(s.pending, id)
	return call
}

// pendingCount returns the number of calls that wait for their reply.
func (s *session) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

func (s *session) ping() {
	_ = s.stream.send(&frame{Kind: kindPing}) // a failed send closes the session
}

// failPending ends the session and all calls that wait for a reply.
func (s *session) failPending() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.endLivenessCheck()
	for id, call := range s.pending {
		close(call.reply)
		delete(s.pending, id)
	}
}

package calllink

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// messageBytesMax bounds one message; a frame holds a whole request or answer.
	messageBytesMax = 80 << 20
	// batchBytes is the size from which on no further frame joins a message.
	batchBytes = 64 << 10
	// writeTimeout bounds the writing of one message.
	writeTimeout = 5 * time.Second
)

// stream writes and reads frames on one WebSocket. Frames that wait while a
// message is written go out together in the next one.
type stream struct {
	socket *websocket.Conn
	heard  atomic.Int64 // since when a message is due, in nanoseconds since start
	came   atomic.Int64 // time of the last message, or of the opening

	mu      sync.Mutex
	queue   []*frame
	writing bool
	closed  bool
	sent    func(*frame) // called before a frame is written
	out     *wordWriter
	in      wordReader // of the reading goroutine
}

func newStream(socket *websocket.Conn) *stream {
	socket.SetReadLimit(messageBytesMax)
	return &stream{socket: socket, sent: func(*frame) {}, out: newWordWriter()}
}

// send queues a frame and writes the queue unless another goroutine does.
func (s *stream) send(f *frame) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return errClosed
	}
	s.queue = append(s.queue, f)
	if s.writing {
		s.mu.Unlock()
		return nil
	}
	s.writing = true
	s.mu.Unlock()
	return s.flush()
}

// flush writes until the queue is empty.
func (s *stream) flush() error {
	var batch bytes.Buffer
	for {
		batch.Reset()
		if !s.fill(&batch) {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
		err := s.socket.Write(ctx, websocket.MessageBinary, batch.Bytes())
		cancel()
		if err != nil {
			s.close()
			return errors.Wrap(err, "write to node")
		}
	}
}

// fill moves frames from the queue into a batch. It returns false when none is
// left, and then the stream has no writer any more.
func (s *stream) fill(batch *bytes.Buffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := 0
	for taken < len(s.queue) && batch.Len() < batchBytes {
		f := s.queue[taken]
		taken++
		s.sent(f)
		data, err := cbor.Marshal(s.out.frame(f))
		if err != nil {
			continue // no frame holds a value that can't be encoded
		}
		batch.Write(data)
	}
	s.queue = append(s.queue[:0], s.queue[taken:]...)
	s.writing = batch.Len() > 0 && !s.closed
	return s.writing
}

// read hands frames to take until the link ends.
func (s *stream) read(now func() time.Duration, take func(*frame)) error {
	for {
		_, data, err := s.socket.Read(context.Background())
		if err != nil {
			s.close()
			return errors.Wrap(err, "read from node")
		}
		at := int64(now())
		s.heard.Store(at)
		s.came.Store(at)
		if err := s.in.decode(data, take); err != nil {
			s.close()
			return err
		}
	}
}

// silentFor returns the time for which a message has been due.
func (s *stream) silentFor(now time.Duration) time.Duration {
	return now - time.Duration(s.heard.Load())
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.queue = nil
	s.mu.Unlock()
	_ = s.socket.CloseNow() // nothing more is expected of it
}

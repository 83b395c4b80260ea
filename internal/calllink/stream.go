package calllink

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// messageBytesMax limits one message. A frame contains a whole request or response.
	messageBytesMax = 80 << 20
	// batchBytes is the message size at which no further frame is added.
	batchBytes = 64 << 10
	// writeTimeout limits the time to write one message.
	writeTimeout = 5 * time.Second
)

// stream reads and writes frames on one WebSocket. Frames that are queued while a message
// is written are sent together in the next message.
type stream struct {
	socket       *websocket.Conn
	dueSince     atomic.Int64 // time since which a message is due, in ns since the process start
	lastReceived atomic.Int64 // time of the last message, or of the opening, in ns since the process start

	mu          sync.Mutex
	queue       []*frame
	writing     bool
	closed      bool
	beforeWrite func(*frame) // called for each frame before it is written
	encoder     *dictEncoder
	decoder     dictDecoder // used by the reading goroutine only
}

func newStream(socket *websocket.Conn) *stream {
	socket.SetReadLimit(messageBytesMax)
	return &stream{socket: socket, beforeWrite: func(*frame) {}, encoder: newDictEncoder()}
}

// send queues a frame, and writes the queue unless another goroutine is writing it.
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

// takeBack removes a frame from the queue. It returns false if the frame may have been written.
func (s *stream) takeBack(f *frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := slices.Index(s.queue, f)
	if index < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, index, index+1)
	return true
}

// flush writes until the queue is empty.
func (s *stream) flush() error {
	var batch bytes.Buffer
	for {
		batch.Reset()
		if !s.fillBatch(&batch) {
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

// fillBatch moves frames from the queue into a batch. It returns false if the queue is
// empty or the stream is closed, and marks the stream as having no writer.
func (s *stream) fillBatch(batch *bytes.Buffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for count < len(s.queue) && batch.Len() < batchBytes {
		f := s.queue[count]
		count++
		s.beforeWrite(f)
		data, err := cbor.Marshal(s.encoder.frame(f))
		if err != nil {
			continue // does not occur: every value of a frame can be encoded
		}
		batch.Write(data)
	}
	s.queue = append(s.queue[:0], s.queue[count:]...)
	s.writing = batch.Len() > 0 && !s.closed
	return s.writing
}

// read passes frames to handle until the link is closed.
func (s *stream) read(now func() time.Duration, handle func(*frame)) error {
	for {
		_, data, err := s.socket.Read(context.Background())
		if err != nil {
			s.close()
			return errors.Wrap(err, "read from node")
		}
		received := int64(now())
		s.dueSince.Store(received)
		s.lastReceived.Store(received)
		if err := s.decoder.decodeFrames(data, handle); err != nil {
			s.close()
			return err
		}
	}
}

// silenceAt returns how long a message has been due.
func (s *stream) silenceAt(now time.Duration) time.Duration {
	return now - time.Duration(s.dueSince.Load())
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.queue = nil
	s.mu.Unlock()
	_ = s.socket.CloseNow() // the stream no longer uses the socket
}

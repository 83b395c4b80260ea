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

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

const (
	// wholeMessageBytesMax limits one message of a node that sends whole requests and responses.
	wholeMessageBytesMax = 80 << 20
	// messageBytesMax limits one message of a node that sends large bodies in pieces. The largest
	// contain the state of a deployment.
	messageBytesMax = 16 << 20
	// batchBytes is the message size at which no further frame is added.
	batchBytes = 64 << 10
	// readBufferBytesMax is the size of the largest buffer that is kept for the next message.
	readBufferBytesMax = 4 * batchBytes
	// subprotocolPieces is the WebSocket subprotocol of nodes that send large bodies in pieces, so
	// that neither side holds a large message.
	subprotocolPieces = "galenacart-calls-2"
	// wholeFrameCopies is the number of copies of a body while it is sent in one frame.
	wholeFrameCopies = 3
	// writeTimeout limits the time to write one message.
	writeTimeout = 5 * time.Second
)

// stream reads and writes frames on one WebSocket. Frames that are queued while a message
// is written are sent together in the next message.
type stream struct {
	socket       *websocket.Conn
	pieces       bool         // large bodies are sent in pieces
	dueSince     atomic.Int64 // time since which a message is due, in ns since the process start
	lastReceived atomic.Int64 // time of the last message, or of the opening, in ns since the process start

	mu          sync.Mutex
	queue       []*frame
	writing     bool
	closed      bool
	written     []*frame     // of the message that is being written
	beforeWrite func(*frame) // called for each frame before it is written
	encoder     *dictEncoder
	decoder     dictDecoder // used by the reading goroutine only
}

func newStream(socket *websocket.Conn) *stream {
	pieces := socket.Subprotocol() == subprotocolPieces
	socket.SetReadLimit(wholeMessageBytesMax)
	if pieces {
		socket.SetReadLimit(messageBytesMax)
	}
	return &stream{socket: socket, pieces: pieces, beforeWrite: func(*frame) {}, encoder: newDictEncoder()}
}

// mayHoldWhole reports whether a body can be sent to a node that takes no pieces, and charges the
// copies that this takes.
func (s *stream) mayHoldWhole(body message.Body, lease *memory.Lease) bool {
	size := body.Len()
	return s.pieces || size <= inlineBodyBytes || lease.Grow(wholeFrameCopies*size)
}

// send queues a frame, and writes the queue unless another goroutine is writing it. It writes one
// message at most; what remains is written in the background, so that no sender waits for the
// bodies of others.
func (s *stream) send(f *frame) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		f.finish()
		return errClosed
	}
	s.queue = append(s.queue, f)
	if s.writing {
		s.mu.Unlock()
		return nil
	}
	s.writing = true
	s.mu.Unlock()
	if s.pieces && f.body().Len() > inlineBodyBytes {
		go s.flush()
		return nil
	}
	var batch bytes.Buffer
	more, err := s.writeBatch(&batch)
	if more {
		go s.flush()
	}
	return err
}

// takeBack removes a frame from the queue. It returns false if the frame may have been written.
// Pieces of its body may have been: then frame.begun is set, and a kindCancel must follow.
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

// flush writes until the queue is empty or the stream is closed.
func (s *stream) flush() {
	var batch bytes.Buffer
	for more := true; more; {
		more, _ = s.writeBatch(&batch) // a failed write closes the stream
	}
}

// writeBatch writes one message. It returns whether more is queued.
func (s *stream) writeBatch(batch *bytes.Buffer) (more bool, err error) {
	batch.Reset()
	if !s.fillBatch(batch) {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	err = s.socket.Write(ctx, websocket.MessageBinary, batch.Bytes())
	cancel()
	s.finishWritten()
	if err != nil {
		s.close()
		return false, errors.Wrap(err, "write to node")
	}
	return s.keepWriting(), nil
}

// keepWriting reports whether more is queued. Without more, the stream has no writer.
func (s *stream) keepWriting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = len(s.queue) > 0 && !s.closed
	return s.writing
}

// finishWritten releases what the frames of the last message hold.
func (s *stream) finishWritten() {
	s.mu.Lock()
	written := s.written
	s.written = nil
	s.mu.Unlock()
	for _, f := range written {
		f.finish()
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
		if s.pieces {
			if piece := f.cutPiece(); piece != nil {
				s.encode(batch, piece)
				s.queue = append(s.queue, f) // other frames get their turn
				continue
			}
		}
		s.beforeWrite(f)
		s.encode(batch, f)
		if f.release != nil {
			s.written = append(s.written, f)
		}
	}
	s.queue = append(s.queue[:0], s.queue[count:]...)
	s.writing = batch.Len() > 0 && !s.closed
	return s.writing
}

// encode appends a frame to a batch. The caller holds s.mu.
func (s *stream) encode(batch *bytes.Buffer, f *frame) {
	data, err := cbor.Marshal(s.encoder.frame(f))
	if err != nil {
		return // does not occur: every value of a frame can be encoded
	}
	batch.Write(data)
}

// read passes frames to handle until the link is closed.
func (s *stream) read(now func() time.Duration, handle func(*frame)) error {
	for {
		if err := s.readMessage(now, handle); err != nil {
			s.close()
			return err
		}
	}
}

// messageBuffers are reused, so that a large fleet's many quiet links have none. Decoding copies
// what it keeps.
var messageBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// readMessage reads one message and passes its frames to handle.
func (s *stream) readMessage(now func() time.Duration, handle func(*frame)) error {
	_, reader, err := s.socket.Reader(context.Background())
	if err != nil {
		return errors.Wrap(err, "read from node")
	}
	buffer := messageBuffers.Get().(*bytes.Buffer)
	defer func() {
		if buffer.Cap() <= readBufferBytesMax {
			messageBuffers.Put(buffer)
		}
	}()
	buffer.Reset()
	if _, err := buffer.ReadFrom(reader); err != nil {
		return errors.Wrap(err, "read from node")
	}
	received := int64(now())
	s.dueSince.Store(received)
	s.lastReceived.Store(received)
	return s.decoder.decodeFrames(buffer.Bytes(), handle)
}

// silenceAt returns how long a message has been due.
func (s *stream) silenceAt(now time.Duration) time.Duration {
	return now - time.Duration(s.dueSince.Load())
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, f := range queue {
		f.finish()
	}
	_ = s.socket.CloseNow() // the stream no longer uses the socket
}

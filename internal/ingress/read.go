package ingress

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// bodyTimeout limits the time to receive a body.
const bodyTimeout = 30 * time.Second

var errTooLarge = errors.New("more bytes than the limit")

// source reads from a client and records its progress.
type source struct {
	raw      net.Conn
	replay   []byte // is read before further bytes of the client
	progress progress
}

// Read reads from the client.
func (s *source) Read(p []byte) (int, error) {
	if len(s.replay) > 0 {
		n := copy(p, s.replay)
		s.replay = s.replay[n:]
		if len(s.replay) == 0 {
			s.replay = nil
		}
		return n, nil
	}
	n, err := s.raw.Read(p)
	if n > 0 {
		s.progress.record()
	}
	return n, err
}

// readRequest reads one whole request, whose memory it charges to lease, or returns the response
// that rejects it. If both are nil, the connection must be closed.
func (c *conn) readRequest(lease *memory.Lease) (r *message.Request, last bool, refused *message.Response) {
	limits := c.server.config.Limits()
	c.setReadTimeout(limits.HeaderTimeout)
	if err := c.awaitHead(lease, limits.HeaderBytes); err != nil {
		return nil, true, c.responseToReadError(err)
	}
	parsed, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, true, c.responseToReadError(err)
	}
	body, err := c.readBody(parsed, lease, limits)
	if err != nil {
		return nil, true, c.responseToReadError(err)
	}
	last = parsed.Close || !parsed.ProtoAtLeast(1, 1)
	message.DropHopByHop(parsed.Header)
	return &message.Request{
		Method: parsed.Method,
		Target: parsed.RequestURI,
		Host:   parsed.Host,
		Header: parsed.Header,
		Body:   body,
		Memory: lease,
	}, last, nil
}

// responseToReadError returns the response to a request that can't be read, or nil if the
// connection failed.
func (c *conn) responseToReadError(err error) *message.Response {
	var network net.Error
	switch {
	case errors.Is(err, message.ErrNoMemory), isTimeout(err) && c.isEvicted():
		return c.server.config.NoMemory()
	case isTimeout(err) && c.isClosing():
		return c.server.config.NotRead()
	case errors.Is(err, message.ErrBodyTooLarge):
		return message.ErrorResponse(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
	case errors.Is(err, errTooLarge):
		return message.ErrorResponse(http.StatusRequestHeaderFieldsTooLarge, "the head is larger than the limit")
	case isTimeout(err):
		return message.ErrorResponse(http.StatusRequestTimeout, "the head took too long")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		return nil
	default:
		return message.ErrorResponse(http.StatusBadRequest, "not an HTTP/1.1 request")
	}
}

// readBody reads a whole body.
func (c *conn) readBody(r *http.Request, lease *memory.Lease, limits Limits) (message.Body, error) {
	if r.ContentLength > limits.BodyBytes {
		return nil, message.ErrBodyTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	c.setReadTimeout(bodyTimeout)
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && c.outstanding() == 0 {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, errors.Wrap(io.EOF, err.Error()) // the client has left
		}
	}
	grow := func(n int) bool { return c.grow(lease, n) }
	return message.ReadBody(r.Body, r.ContentLength, limits.BodyBytes, grow)
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// typicalHeadBytes is the typical size of a response's head.
const typicalHeadBytes = 512

// encodeHead returns the head of a response in its wire format, always with a Content-Length where
// HTTP allows it.
func encodeHead(a *message.Response, closes bool) *bytes.Buffer {
	var b bytes.Buffer // writing to memory never fails
	b.Grow(typicalHeadBytes)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	_ = a.Header.Write(&b)
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(a.Body.Len()) + "\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

package ingress

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/message"
)

// unlimited disables the limit of a limitedReader.
const unlimited = math.MaxInt64

// bodyTimeout limits the time to receive a body.
const bodyTimeout = 30 * time.Second

var errTooLarge = errors.New("more bytes than the limit")

// limitedReader fails with errTooLarge once remaining bytes were read.
type limitedReader struct {
	source    io.Reader
	remaining int64
}

// Read reads at most the remaining bytes from the source.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// readRequest reads one whole request, or returns the response that rejects it. If both are
// nil, the connection must be closed.
func (c *conn) readRequest() (r *message.Request, last bool, refused *message.Response) {
	limits := c.server.config.Limits()
	c.limit.remaining = max(int64(limits.HeaderBytes-c.in.Buffered()), 0)
	c.setReadTimeout(limits.HeaderTimeout)
	parsed, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, true, c.responseToReadError(err)
	}
	body, complete, refused := c.readBody(parsed, limits.BodyBytes)
	if !complete {
		return nil, true, refused
	}
	last = parsed.Close || !parsed.ProtoAtLeast(1, 1)
	message.DropHopByHop(parsed.Header)
	return &message.Request{
		Method: parsed.Method,
		Target: parsed.RequestURI,
		Host:   parsed.Host,
		Header: parsed.Header,
		Body:   body,
	}, last, nil
}

// responseToReadError returns the response to a request that can't be read, or nil if the
// connection failed.
func (c *conn) responseToReadError(err error) *message.Response {
	var network net.Error
	switch {
	case isTimeout(err) && c.isClosing():
		return c.server.config.NotRead()
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

// readBody reads a whole body. Otherwise complete is false, and refused is the response that
// rejects the request, or nil if the connection failed.
func (c *conn) readBody(r *http.Request, limit int64) (body []byte, complete bool, refused *message.Response) {
	c.limit.remaining = unlimited
	if r.ContentLength > limit {
		return nil, false, message.ErrorResponse(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
	}
	if r.ContentLength == 0 {
		return nil, true, nil
	}
	c.setReadTimeout(bodyTimeout)
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") && c.outstanding() == 0 {
		if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, false, nil
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, false, c.responseToReadError(err)
	case int64(len(body)) > limit:
		return nil, false, message.ErrorResponse(http.StatusRequestEntityTooLarge, "the body is larger than the limit")
	default:
		return body, true, nil
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// typicalHeadBytes is the typical size of a response's head.
const typicalHeadBytes = 512

// encode returns a response in its wire format, always with a Content-Length where HTTP allows it.
func encode(a *message.Response, isHead, closes bool) []byte {
	var b bytes.Buffer // writing to memory never fails
	b.Grow(len(a.Body) + typicalHeadBytes)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	_ = a.Header.Write(&b)
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !isHead {
		b.Write(a.Body)
	}
	return b.Bytes()
}

package endpointlink

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// readBufferBytes is enough for a typical response.
const readBufferBytes = 4 << 10

// conn is one connection to the endpoint. It carries one request at a time.
type conn struct {
	raw       net.Conn
	head      *headReader // source of in
	in        *bufio.Reader
	idleMax   time.Duration
	idleSince time.Time
	recentIDs []string // of the latest requests, oldest first
}

// recentIDsMax limits the request IDs that a connection remembers. A late duplicate
// of a response arrives before the next response or not at all.
const recentIDsMax = 8

func newConn(raw net.Conn, headBytesMax int) *conn {
	head := &headReader{source: raw, max: headBytesMax}
	head.beginHead()
	return &conn{raw: raw, head: head, in: bufio.NewReaderSize(head, readBufferBytes), idleMax: defaultIdleMax}
}

func (c *conn) close() {
	_ = c.raw.Close() // the connection is no longer used
}

// recordRequest records that the connection is used for a request.
func (c *conn) recordRequest(id string) {
	if len(c.recentIDs) == recentIDsMax {
		c.recentIDs = slices.Delete(c.recentIDs, 0, 1)
	}
	c.recentIDs = append(c.recentIDs, id)
}

// carriesFirstRequest reports whether the connection has carried no request before the current
// one.
func (c *conn) carriesFirstRequest() bool {
	return len(c.recentIDs) == 1
}

// canServe reports whether no late duplicate of an earlier response on this connection can
// be mistaken for the response to a request. Responses to a request without an ID can't be told
// from others.
func (c *conn) canServe(id string) bool {
	return len(c.recentIDs) == 0 || id != "" && !slices.Contains(c.recentIDs, id)
}

// withinIdleLimit reports whether the endpoint is expected to still hold the connection open.
func (c *conn) withinIdleLimit(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleMax
}

// usable reports whether the connection can carry a request: it is open, within the idle
// limits, and holds no unread bytes, which would belong to no request.
func (c *conn) usable(now time.Time, idleMax time.Duration) bool {
	if !c.withinIdleLimit(now) || now.Sub(c.idleSince) > idleMax {
		return false
	}
	return c.in.Buffered() == 0 && c.openWithoutData()
}

// openWithoutData reports whether the connection is open and has nothing to read.
func (c *conn) openWithoutData() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	openWithoutData := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openWithoutData = err == unix.EAGAIN
		return true
	})
	return err == nil && openWithoutData
}

// staysOpen reports whether the peer keeps the connection open for a time.
func (c *conn) staysOpen(duration time.Duration) bool {
	if c.raw.SetReadDeadline(time.Now().Add(duration)) != nil {
		return false
	}
	_, err := c.in.Peek(1)
	open := errors.Is(err, os.ErrDeadlineExceeded) || err == nil
	return open && c.raw.SetReadDeadline(time.Time{}) == nil
}

// applyKeepAlive sets the idle limit from a response's Keep-Alive header and reports whether
// the connection may be reused.
func (c *conn) applyKeepAlive(r *http.Response) bool {
	if r.Close || c.in.Buffered() > 0 {
		return false
	}
	for _, list := range r.Header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				c.idleMax = time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return c.idleMax > 0
}

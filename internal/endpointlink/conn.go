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

// readBufferBytes holds a usual answer.
const readBufferBytes = 4 << 10

// conn is one connection to the endpoint. It carries one request at a time.
type conn struct {
	raw       net.Conn
	head      *headReader // what in reads from
	in        *bufio.Reader
	idleMax   time.Duration
	idleSince time.Time
	carried   []string // IDs of the latest requests, the newest at the end
}

// carriedMax bounds the requests that a connection remembers. A second copy of an
// answer comes before the next answer or not at all.
const carriedMax = 8

func newConn(raw net.Conn, headBytesMax int) *conn {
	head := &headReader{from: raw, max: headBytesMax}
	head.begin()
	return &conn{raw: raw, head: head, in: bufio.NewReaderSize(head, readBufferBytes), idleMax: idleBefore}
}

func (c *conn) close() {
	_ = c.raw.Close() // nothing is expected of it any more
}

// carry notes that the connection is used for a request.
func (c *conn) carry(id string) {
	if len(c.carried) == carriedMax {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// fresh reports whether no late copy of an earlier answer can pass for the answer to
// a request.
func (c *conn) fresh(id string) bool {
	return id == "" || !slices.Contains(c.carried, id)
}

// young reports whether the endpoint has no reason yet to close the connection.
func (c *conn) young(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleMax
}

// fit reports whether the connection can take a request: it is young, open, and
// no bytes lie on it that belong to no request.
func (c *conn) fit(now time.Time, idleMax time.Duration) bool {
	if !c.young(now) || now.Sub(c.idleSince) > idleMax {
		return false
	}
	return c.in.Buffered() == 0 && c.quiet()
}

// quiet reports whether the connection is open with nothing to read.
func (c *conn) quiet() bool {
	socket, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// stays reports whether the other side keeps the connection open for a time.
func (c *conn) stays(patience time.Duration) bool {
	if c.raw.SetReadDeadline(time.Now().Add(patience)) != nil {
		return false
	}
	_, err := c.in.Peek(1)
	open := errors.Is(err, os.ErrDeadlineExceeded) || err == nil
	return open && c.raw.SetReadDeadline(time.Time{}) == nil
}

// keep takes in how long the endpoint keeps the connection when it is idle, and
// reports whether it may be used again.
func (c *conn) keep(r *http.Response) bool {
	if r.Close || c.in.Buffered() > 0 {
		return false
	}
	for _, list := range r.Header["Keep-Alive"] {
		for one := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(one), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				c.idleMax = time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return c.idleMax > 0
}

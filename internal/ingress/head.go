package ingress

import (
	"bufio"
	"bytes"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/memory"
	"github.com/galenacart/galenacart/internal/message"
)

// firstHeadBytes is the size of the first buffer for a head. Most heads fit.
const firstHeadBytes = 1 << 10

// awaitHead waits for the whole head of a request, up to its empty line, and leaves it to be read
// again. Parsing it as it arrives would take many times the memory for a head that does not end.
func (c *conn) awaitHead(lease *memory.Lease, bytesMax int) error {
	head, err := c.readHead(lease, bytesMax)
	if err != nil {
		return err
	}
	if !c.grow(lease, message.HeadMemory(bytes.Count(head, []byte{'\n'}), len(head))) {
		return message.ErrNoMemory
	}
	rest, err := c.in.Peek(c.in.Buffered())
	if err != nil {
		return err
	}
	c.source.replay = append(head, rest...)
	c.in.Reset(c.source)
	return nil
}

// readHead reads the bytes of a head.
func (c *conn) readHead(lease *memory.Lease, bytesMax int) ([]byte, error) {
	if !c.grow(lease, firstHeadBytes) {
		return nil, message.ErrNoMemory
	}
	head := make([]byte, 0, firstHeadBytes)
	for lineStart := 0; ; {
		part, err := c.in.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(head)+len(part) > bytesMax {
			return nil, errTooLarge
		}
		if size := max(2*cap(head), len(head)+len(part)); len(head)+len(part) > cap(head) {
			if !c.grow(lease, size-cap(head)) {
				return nil, message.ErrNoMemory
			}
			head = append(make([]byte, 0, size), head...)
		}
		head = append(head, part...)
		if err != nil {
			continue // the line is longer than the buffer
		}
		if isEmptyLine(head[lineStart:]) {
			return head, nil
		}
		lineStart = len(head)
	}
}

func isEmptyLine(line []byte) bool {
	return len(line) == 1 || len(line) == 2 && line[0] == '\r'
}

package event

import (
	"bytes"
	"encoding/json"
	"sync"
)

// Ring keeps the newest event lines of a process in memory. It is an io.Writer
// that serves as the sink of a Log, alone or with another sink.
type Ring struct {
	mu    sync.Mutex
	lines [][]byte
	next  int
	size  int
}

// maxLineBytes bounds a line that a Ring keeps. Longer lines are discarded.
const maxLineBytes = 4096

// NewRing returns a ring that keeps at most the given number of lines.
func NewRing(lines int) *Ring {
	return &Ring{lines: make([][]byte, max(lines, 1))}
}

// Write stores one line and overwrites the oldest one when the ring is full. It
// never fails.
func (r *Ring) Write(line []byte) (int, error) {
	if len(line) > maxLineBytes {
		return len(line), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines[r.next] = append(r.lines[r.next][:0], line...)
	r.next = (r.next + 1) % len(r.lines)
	r.size = min(r.size+1, len(r.lines))
	return len(line), nil
}

// Select returns the kept lines whose logical time is larger than after, the
// oldest first: those of one request, or all when correlation is empty. Each line
// ends with a newline.
func (r *Ring) Select(after uint64, correlation string) []byte {
	var out bytes.Buffer
	for _, line := range r.snapshot() {
		var stamp struct {
			Clock       uint64 `json:"clock"`
			Correlation string `json:"correlation"`
		}
		if json.Unmarshal(line, &stamp) != nil || stamp.Clock <= after {
			continue
		}
		if correlation == "" || stamp.Correlation == correlation {
			out.Write(line)
		}
	}
	return out.Bytes()
}

// snapshot copies the lines, so that readers block writers only briefly.
func (r *Ring) snapshot() [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := make([][]byte, 0, r.size)
	for i := range r.size {
		index := (r.next - r.size + i + len(r.lines)) % len(r.lines)
		kept = append(kept, bytes.Clone(r.lines[index]))
	}
	return kept
}

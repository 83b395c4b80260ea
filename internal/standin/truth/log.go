package truth

import (
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const fileMode = 0o644

// Log writes the records of one endpoint process. It is safe for concurrent use.
type Log struct {
	mu          sync.Mutex
	out         io.Writer
	vm          string
	service     string
	start       time.Time
	incarnation int64
	lastErr     error
}

// NewLog returns a log that writes each record to w with a single call of Write.
func NewLog(w io.Writer, vm, service string) *Log {
	now := time.Now()
	return &Log{out: w, vm: vm, service: service, start: now, incarnation: now.UnixNano()}
}

// OpenFile opens a file for appending, creating it if necessary. A killed process
// loses at most the line that it was writing.
func OpenFile(file string) (*os.File, error) {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	return f, errors.Wrapf(err, "open truth file %s", file)
}

// Incarnation returns the wall clock at the start of the process, in nanoseconds
// since 1970, which identifies this run of the process.
func (l *Log) Incarnation() int64 {
	return l.incarnation
}

// Add sets the timestamps, VM, service and incarnation of a record and writes it.
func (l *Log) Add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r.WallNs = now.UnixNano()
	r.MonotonicNs = int64(now.Sub(l.start))
	r.VM = l.vm
	r.Service = l.service
	r.Incarnation = l.incarnation
	line, err := json.Marshal(r)
	if err != nil {
		l.lastErr = errors.Wrap(err, "encode truth record")
		return
	}
	if _, err := l.out.Write(append(line, '\n')); err != nil {
		l.lastErr = errors.Wrap(err, "write truth record")
	}
}

// Err returns the last encoding or write error. After an error the log is
// incomplete.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastErr
}

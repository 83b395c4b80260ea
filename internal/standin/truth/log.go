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

// Log writes the records of one endpoint process.
type Log struct {
	mu          sync.Mutex
	out         io.Writer
	vm          string
	service     string
	start       time.Time
	incarnation int64
	failed      error
}

// NewLog returns a log that writes each record to w with one call of Write.
func NewLog(w io.Writer, vm, service string) *Log {
	now := time.Now()
	return &Log{out: w, vm: vm, service: service, start: now, incarnation: now.UnixNano()}
}

// OpenFile opens a file to which a Log appends. A process that is killed loses
// at most the line that it was writing.
func OpenFile(file string) (*os.File, error) {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	return f, errors.Wrapf(err, "open truth file %s", file)
}

// Incarnation identifies the run of the process.
func (l *Log) Incarnation() int64 {
	return l.incarnation
}

// Add completes a record with time and origin and writes it.
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
		l.failed = errors.Wrap(err, "encode truth record")
		return
	}
	if _, err := l.out.Write(append(line, '\n')); err != nil {
		l.failed = errors.Wrap(err, "write truth record")
	}
}

// Err returns the last error of a write: a log with an error is not exact.
func (l *Log) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

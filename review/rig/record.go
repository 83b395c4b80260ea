package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with seconds since the start.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes one line.
func (r *record) line(format string, values ...any) {
	at := time.Since(r.started).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{at}, values...)...) // close reports errors
}

// note writes one line, also to standard output.
func (r *record) note(format string, values ...any) {
	fmt.Printf(format+"\n", values...)
	r.line(format, values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "rig: record.txt:", err)
	}
	_ = r.file.Close() // everything was written
}

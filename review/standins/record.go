package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file and to standard output.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{startedAt: time.Now(), file: file}, err
}

// logf writes one line with the time since the start.
func (r *record) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.WriteString(line) // the exit code holds the result as well
	fmt.Print(line)
}

// finish writes the result of a case and returns its exit code.
func (r *record) finish(v verdict, err error) int {
	switch {
	case err != nil:
		r.logf("could not run: %v", err)
		return exitNotRun
	case v.broken:
		r.logf("RULE BROKEN: %s", v.text)
		return exitBroken
	default:
		r.logf("rule held: %s", v.text)
		return exitHeld
	}
}

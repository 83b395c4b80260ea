package settings

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Live holds settings that may be read anew while the node runs. It is safe for
// concurrent use.
type Live struct {
	file    string
	current atomic.Pointer[Mesh]

	mu   sync.Mutex
	data []byte
}

// NewLive returns the settings in a file.
func NewLive(file string) (*Live, error) {
	l := &Live{file: file}
	if _, err := l.Reload(); err != nil {
		return nil, err
	}
	return l, nil
}

// Load returns the settings in force.
func (l *Live) Load() *Mesh {
	return l.current.Load()
}

// Reload reads the file again and reports whether other settings are in force.
// With an error those from before stay: a new file is taken whole or not at all.
func (l *Live) Reload() (changed bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	data, err := os.ReadFile(l.file)
	if err != nil {
		return false, errors.Wrap(err, "read settings")
	}
	if bytes.Equal(data, l.data) {
		return false, nil
	}
	m, err := DecodeMesh(l.file, data)
	if err != nil {
		return false, err
	}
	if before := l.current.Load(); before != nil && before.place() != m.place() {
		return false, errors.New("addresses and names are read at the start only; restart the node")
	}
	l.current.Store(m)
	l.data = data
	return true, nil
}

// place returns the settings that can't change while the node runs.
func (m *Mesh) place() Mesh {
	p := *m
	p.StopTimeout, p.RetryWindow, p.LogLevel = "", "", ""
	p.RetryRatio, p.RetryAllowance = 0, 0
	return p
}

package settings

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Reloadable holds settings that may be read anew while the node runs. It is safe for
// concurrent use.
type Reloadable struct {
	file    string
	current atomic.Pointer[Mesh]

	mu   sync.Mutex
	data []byte
}

// NewReloadable returns the settings in a file.
func NewReloadable(file string) (*Reloadable, error) {
	l := &Reloadable{file: file}
	if _, err := l.Reload(); err != nil {
		return nil, err
	}
	return l, nil
}

// Load returns the settings in force.
func (l *Reloadable) Load() *Mesh {
	return l.current.Load()
}

// Reload reads the file again and reports whether other settings are in force.
// With an error those from before stay: a new file is taken whole or not at all.
func (l *Reloadable) Reload() (changed bool, err error) {
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

package settings

import (
	"bytes"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Reloadable holds settings that can be reloaded from their file while the node runs.
// It is safe for concurrent use.
type Reloadable struct {
	file    string
	current atomic.Pointer[Mesh]

	mu   sync.Mutex
	data []byte
}

// NewReloadable reads settings from a file.
func NewReloadable(file string) (*Reloadable, error) {
	r := &Reloadable{file: file}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Load returns the settings in force.
func (r *Reloadable) Load() *Mesh {
	return r.current.Load()
}

// Reload reads the file again and reports whether changed settings are in force. On an
// error the previous settings stay: a new file is applied completely or not at all.
func (r *Reloadable) Reload() (changed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := os.ReadFile(r.file)
	if err != nil {
		return false, errors.Wrap(err, "read settings")
	}
	if bytes.Equal(data, r.data) {
		return false, nil
	}
	m, err := DecodeMesh(r.file, data)
	if err != nil {
		return false, err
	}
	if previous := r.current.Load(); previous != nil && previous.fixedSettings() != m.fixedSettings() {
		return false, errors.New("addresses and names are read at the start only; restart the node")
	}
	r.current.Store(m)
	r.data = data
	return true, nil
}

// fixedSettings returns a copy without the settings that may change while the node runs.
func (m *Mesh) fixedSettings() Mesh {
	p := *m
	p.StopTimeout, p.RetryWindow, p.LogLevel = "", "", ""
	p.RetryRatio, p.RetryAllowance = 0, 0
	return p
}

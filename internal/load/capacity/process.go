package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/vmlist"
)

// stopTimeout limits the graceful stop of a process, after which it is killed.
const stopTimeout = 15 * time.Second

// process is one node process.
type process struct {
	vm           vmlist.VM
	command      *exec.Cmd
	ended        chan struct{}
	mu           sync.Mutex
	remaining    []byte
	inForce      map[uint64]time.Time // time at which a revision came into force
	regressions  int                  // times that the revision decreased
	lastRevision uint64
}

// startProcess runs a node. The kernel kills it when this process ends.
func startProcess(program, dir string, vm vmlist.VM) (*process, error) {
	file, err := writeSettings(dir, vm)
	if err != nil {
		return nil, err
	}
	p := &process{vm: vm, ended: make(chan struct{}), inForce: make(map[uint64]time.Time)}
	p.command = exec.Command(program, "run", "-settings", file)
	p.command.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.command.Stderr = p
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start node of %s", vm.Name)
	}
	go func() {
		_ = p.command.Wait() // wait reads the exit status from ProcessState
		close(p.ended)
	}()
	return p, nil
}

// Write reads the event lines of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remaining = append(p.remaining, data...)
	for {
		line, remaining, found := bytes.Cut(p.remaining, []byte("\n"))
		if !found {
			return len(data), nil
		}
		p.recordEvent(line)
		p.remaining = remaining
	}
}

func (p *process) recordEvent(line []byte) {
	var e struct {
		Event    event.Number `json:"event"`
		Revision uint64       `json:"revision"`
	}
	if json.Unmarshal(line, &e) != nil || e.Event != event.CatalogueInForce {
		return
	}
	if e.Revision < p.lastRevision {
		p.regressions++
	}
	p.lastRevision = e.Revision
	p.inForce[e.Revision] = time.Now()
}

// inForceSince returns when a revision came into force, or false if it has not.
func (p *process) inForceSince(revision uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.inForce[revision]
	return at, ok
}

func (p *process) pid() int {
	return p.command.Process.Pid
}

// terminate requests a graceful stop.
func (p *process) terminate() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // the process may have ended
}

// wait waits for the end of the process, and kills it after stopTimeout.
func (p *process) wait() error {
	select {
	case <-p.ended:
		if state := p.command.ProcessState; !state.Success() {
			return errors.Errorf("node of %s: %s", p.vm.Name, state)
		}
		return nil
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.ended
		return errors.Errorf("node of %s did not stop in %v", p.vm.Name, stopTimeout)
	}
}

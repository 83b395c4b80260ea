package measure

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/settings"
)

const (
	// stopTimeout limits the graceful stop of a process, after which it is killed.
	stopTimeout = 15 * time.Second
	// maxThreadsEnv limits the threads of a node that run concurrently, as on a
	// small VM.
	maxThreadsEnv = "GOMAXPROCS=2"
)

// process is one node process.
type process struct {
	settings *settings.Node
	file     string
	command  *exec.Cmd
	events   *os.File
	ended    chan struct{}
}

// startProcess runs the node of a VM. The kernel kills it when this process ends.
func startProcess(program, dir, vm string) (*process, error) {
	file := filepath.Join(dir, vm, "node.json")
	s, err := settings.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &process{settings: s, file: file}
	return p, p.start(program)
}

func (p *process) start(program string) error {
	var err error
	p.events, err = os.OpenFile(filepath.Join(filepath.Dir(p.file), "events.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open events")
	}
	p.ended = make(chan struct{})
	p.command = exec.Command(program, "run", "-settings", p.file)
	p.command.Env = append(os.Environ(), maxThreadsEnv)
	p.command.Stderr = p.events
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start node of %s", p.settings.VM)
	}
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // wait reads the exit status from ProcessState
		close(ended)
	}(p.command, p.ended)
	return nil
}

// signal sends a signal. The process may have ended.
func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// wait waits for the end of a graceful stop, and kills the process after
// stopTimeout.
func (p *process) wait() error {
	defer func() { _ = p.events.Close() }() // only the process wrote to it
	select {
	case <-p.ended:
		if state := p.command.ProcessState; !state.Success() {
			return errors.Errorf("node of %s: %s", p.settings.VM, state)
		}
		return nil
	case <-time.After(stopTimeout):
		_ = p.command.Process.Kill()
		<-p.ended
		return errors.Errorf("node of %s did not stop in %v", p.settings.VM, stopTimeout)
	}
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The ports are the same on all machines, as on the platform.
const (
	portPeer      = "8300"
	portInstance  = "8301"
	portReadiness = "8302"
	portClients   = "8304"
	portStatus    = "7620"
	portStore     = "8309"
)

// slotsPerInstance is the size of an instance, as in the small sites.
const slotsPerInstance = 54

// program is the node as the deploy file builds it.
const program = "target/galenacart-node"

// fleet is a deployment: its nodes, its instances and its store.
type fleet struct {
	folder   string // of settings and logs
	network  string // the first three parts of the IP addresses
	store    *store
	machines []*machine
	started  time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// machine is one machine: the node and the instance beside it.
type machine struct {
	fleet    *fleet
	name     string
	ip       string // that the instance publishes
	zone     string
	service  string
	instance *instance
	gate     *gate

	// privateIP is where the node itself listens for other machines, behind the gate.
	privateIP string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	events  []nodeEvent
}

// nodeEvent is one line of a node's log.
type nodeEvent struct {
	at   time.Time
	text string
	Name string `json:"name"`
	ID   string `json:"id"`
}

func newFleet(recordFile string) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, errors.Wrap(err, "build the node first")
	}
	folder, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, errors.Wrap(err, "temporary folder")
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	f := &fleet{folder: folder, started: time.Now(), file: file, record: bufio.NewWriter(file)}
	if f.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	f.store = newStore(f)
	return f, nil
}

// freeNetwork returns a part of the loopback range of which nobody uses the ports.
func freeNetwork() (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%200)
		free := true
		for _, port := range []string{portPeer, portInstance, portReadiness, portClients, portStatus, portStore} {
			l, err := net.Listen("tcp", network+"11:"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// close ends every process that was started, and writes the record.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		m.instance.exit()
	}
	f.store.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// seconds returns the time since the start of the case.
func (f *fleet) seconds(at time.Time) float64 {
	return at.Sub(f.started).Seconds()
}

// log writes a line to the record.
func (f *fleet) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f "+format+"\n", append([]any{f.seconds(time.Now())}, args...)...)
}

// note writes a line to the record and to the standard output.
func (f *fleet) note(format string, args ...any) {
	f.log(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{f.seconds(time.Now())}, args...)...)
}

// addMachine adds a machine with its instance, and starts neither.
func (f *fleet) addMachine(zone, service string) {
	number := len(f.machines) + 1
	m := &machine{
		fleet: f, name: fmt.Sprintf("sidecar-%s-%d", zone, number), ip: fmt.Sprintf("%s%d", f.network, 10+number),
		zone: zone, service: service, privateIP: fmt.Sprintf("%s%d", f.network, 110+number),
	}
	m.gate = &gate{machine: m}
	m.instance = &instance{fleet: f, machine: m, id: fmt.Sprintf("i-%06x", 0x51f3a7*number&0xffffff), slots: slotsPerInstance}
	f.machines = append(f.machines, m)
}

// startAll starts all instances and all nodes, and waits until every node is ready.
func (f *fleet) startAll(config string) error {
	f.store.put("op/config", []byte(config))
	for _, m := range f.machines {
		if err := m.gate.listen(); err != nil {
			return err
		}
		if err := m.instance.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitReady(10 * time.Second) {
			return errors.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

// settings returns the node's settings, as the deploy file's template gives them.
func (m *machine) settings() map[string]any {
	return map[string]any{
		"vm": m.name, "availabilityZone": m.zone, "region": "region-1", "service": m.service,
		"clientAddress": m.ip + ":" + portClients, "peerAddress": m.privateIP + ":" + portPeer,
		"readinessAddress": m.ip + ":" + portReadiness, "endpointAddress": m.ip + ":" + portInstance,
		"statusAddress": m.ip + ":" + portStatus, "platformAddress": m.fleet.store.address(m),
		"stopTimeout": "6s", "memoryMb": 284, "descriptors": 4100, "retryRatio": 0.2, "retryAllowance": 48,
		"retryWindow": "10s", "endpointHeartbeat": "1500ms", "updateBound": "2000ms", "drainTime": "2000ms",
	}
}

// startNode starts the node's process.
func (m *machine) startNode() error {
	if err := m.fleet.store.listen(m); err != nil {
		return err
	}
	data, err := json.Marshal(m.settings())
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	file := filepath.Join(m.fleet.folder, m.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	c := exec.Command(program, "serve", "-settings", file)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := c.StderrPipe()
	if err != nil {
		return errors.Wrap(err, "log of the node")
	}
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start the node")
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	m.fleet.log("%s: the node starts, process %d, instance %s of %s", m.name, c.Process.Pid, m.instance.id, m.service)
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			m.addEvent(lines.Bytes())
		}
		_ = c.Wait()
		m.fleet.log("%s: the node has ended: %v", m.name, c.ProcessState)
		close(ended)
	}()
	return nil
}

func (m *machine) addEvent(line []byte) {
	e := nodeEvent{at: time.Now(), text: string(line)}
	_ = json.Unmarshal(line, &e) // what is no event has no name
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	switch e.Name {
	case "reader_heard", "reader_lost", "node_leaving", "node_stopped", "platform_call_lost", "platform_read_failed", "platform_back", "member_changed":
		m.fleet.log("%s: %s", m.name, e.text)
	}
}

// eventsNamed returns the node's events with a name.
func (m *machine) eventsNamed(name string) []nodeEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []nodeEvent
	for _, e := range m.events {
		if e.Name == name {
			out = append(out, e)
		}
	}
	return out
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s) // it may have ended
	}
	m.fleet.log("%s: %v", m.name, s)
}

// kill ends the node's process, if there is one, and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	c, ended := m.process, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill() // it may have ended
	<-ended
}

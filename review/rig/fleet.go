package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a machine of a small deployment.
const memoryMB = 284

// settleTime is the time of calm requests before a disruption.
const settleTime = 4 * time.Second

// The bounds of a small deployment.
const (
	drain       = 2 * time.Second
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	scratch  string
	store    *store
	ledger   *ledger
	machines []*machine
	ports    [5]int // outbound, inbound, ready, instance, status
	storeAt  string
}

func newFleet(r *record, scratch string) (*fleet, error) {
	f := &fleet{record: r, scratch: scratch, ledger: &ledger{}}
	first, err := freePorts(len(f.ports) + 1)
	if err != nil {
		return nil, err
	}
	for i := range f.ports {
		f.ports[i] = first + i
	}
	f.storeAt = net.JoinHostPort(storeIP, strconv.Itoa(first+len(f.ports)))
	f.store, err = startStore(r, f.storeAt)
	return f, err
}

// portTries bounds the search for a free port.
const portTries = 100

// freePorts returns the first of some ports in a row that are free on all addresses of the case, below
// the range from which the kernel takes the ports of connections.
func freePorts(count int) (int, error) {
	for range portTries {
		first := 10000 + rand.IntN(20000)
		free := true
		for port := first; port < first+count; port++ {
			free = free && isFree(port)
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(port int) bool {
	for _, ip := range addresses() {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close() // only its number is used
	}
	return true
}

// machinesMax is the largest number of machines of a case.
const machinesMax = 12

// addresses returns the loopback addresses of the store and of the machines.
func addresses() []string {
	all := []string{storeIP}
	for number := 1; number <= machinesMax; number++ {
		all = append(all, machineIP(number))
	}
	return all
}

// storeIP is the loopback address of the store.
const storeIP = "127.0.1.1"

func machineIP(number int) string {
	return fmt.Sprintf("127.0.0.%d", 10+number)
}

// machine is one machine with an instance and the node beside it.
type machine struct {
	fleet       *fleet
	name, zone  string
	service, ip string
	instance    *instance
	unlisted    bool // the instance's entry is written later

	mu      sync.Mutex
	command *exec.Cmd
	ended   bool // the case is over
}

// add adds a machine. It starts with start.
func (f *fleet) add(service, zone string, work time.Duration) *machine {
	number := len(f.machines) + 1
	m := &machine{fleet: f, name: fmt.Sprintf("sidecar-%d", number), zone: zone, service: service, ip: machineIP(number)}
	m.instance = &instance{
		id: fmt.Sprintf("i-%08x", 0x7f3a9100+number), service: service, address: m.at(3), record: f.record, ledger: f.ledger, work: work,
	}
	f.machines = append(f.machines, m)
	return m
}

// at returns the machine's address with one of the ports.
func (m *machine) at(port int) string {
	return net.JoinHostPort(m.ip, strconv.Itoa(m.fleet.ports[port]))
}

func (m *machine) outbound() string { return m.at(0) }

// publish writes the entry of the machine's instance.
func (m *machine) publish(state string) {
	m.fleet.store.write("servers/"+m.instance.id, map[string]any{
		"address":   m.instance.address,
		"node_info": map[string]any{"service": m.service, "config_version": "v1", "zone": m.zone, "slots": 80},
		"status":    map[string]any{"state": state, "sequence": 4, "warmup_left": "0ms"},
		"born":      m.fleet.record.started.UnixMilli(),
	})
}

// start starts every machine, publishes its instance, and waits until all nodes are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.instance.start(); err != nil {
			return err
		}
		if !m.unlisted {
			m.publish("ready")
		}
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// settings writes the node's settings as the template of the deploy file does.
func (m *machine) settings() (string, error) {
	data, err := json.Marshal(map[string]any{
		"vm": m.name, "availabilityZone": m.zone, "region": "region-1", "service": m.service,
		"clientAddress": m.at(0), "peerAddress": m.at(1), "readinessAddress": m.at(2), "endpointAddress": m.at(3),
		"statusAddress": m.at(4), "platformAddress": m.fleet.storeAt, "stopTimeout": "6s", "memoryMb": memoryMB,
		"retryRatio": 0.2, "retryAllowance": 49, "retryWindow": "10s", "updateBound": "2000ms", "drainTime": "2000ms",
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(m.fleet.scratch, m.name+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	file, err := m.settings()
	if err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.fleet.scratch, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	command := exec.Command("target/galenacart-node", "serve", "-settings", file)
	command.Stderr = output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.scratch, "GALENACART_SETTINGS=" + file}
	if err := command.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.command = command
	m.mu.Unlock()
	m.fleet.record.line("node of %s started, process %d", m.name, command.Process.Pid)
	go m.awaitExit(command)
	return nil
}

// restartPause is the delay after which the platform starts a process again.
const restartPause = 500 * time.Millisecond

// awaitExit starts the node again when it ends before the case does.
func (m *machine) awaitExit(command *exec.Cmd) {
	err := command.Wait()
	m.fleet.record.line("node of %s ended: %v", m.name, err)
	time.Sleep(restartPause)
	m.mu.Lock()
	over := m.ended
	m.mu.Unlock()
	if over {
		return
	}
	if err := m.startNode(); err != nil {
		m.fleet.record.line("node of %s can't start: %v", m.name, err)
	}
}

// signal sends a signal to the machine's node.
func (m *machine) signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.record.line("%v to the node of %s", s, m.name)
	return m.command.Process.Signal(s)
}

// readyTimeout is how long a node may take until it is ready.
const readyTimeout = 15 * time.Second

// awaitReady waits until the node's readiness check answers 200.
func (m *machine) awaitReady() error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return errors.New("the node of " + m.name + " is not ready")
}

// end ends all processes and servers.
func (f *fleet) end() {
	for _, m := range f.machines {
		m.mu.Lock()
		m.ended = true
		if m.command != nil {
			_ = m.command.Process.Kill() // it may have ended
		}
		m.mu.Unlock()
		m.instance.stop()
	}
	f.store.end()
}

// route is one route of the configuration.
type route struct {
	name, prefix, service string
	idempotent            bool
	timeout               string
}

// host is the host of all routes.
const host = "hulo84.example"

// configure writes a version of the configuration.
func (f *fleet) configure(version int, services []string, routes ...route) {
	var wireRoutes, wireServices []map[string]any
	for _, r := range routes {
		kind := "non_idempotent"
		if r.idempotent {
			kind = "idempotent"
		}
		wireRoutes = append(wireRoutes, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "kind": kind, "timeout": r.timeout, "target_latency": "1500ms",
			"priority": 0, "service": r.service, "max_attempts": 2,
		})
	}
	for _, name := range services {
		wireServices = append(wireServices, map[string]any{
			"name": name, "health_path": "/healthcheck", "max_connections": 580, "protocol": "h1", "tls": false,
		})
	}
	f.store.write("op/config", map[string]any{
		"config_version": fmt.Sprintf("r%d", version), "routes": wireRoutes, "services": wireServices,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
}

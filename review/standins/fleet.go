package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// hostName is the host of all routes.
const hostName = "review.example"

// Bounds of the small site files.
const (
	boundContact   = 3 * time.Second
	boundDrain     = 2 * time.Second
	boundGrace     = 6 * time.Second
	boundLossSlack = 200 * time.Millisecond
)

// readyTimeout is the time within which the nodes of a small fleet are ready.
const readyTimeout = 15 * time.Second

// fleetSpec describes a fleet: its machines and its configuration.
type fleetSpec struct {
	machines []machineSpec
	config   configuration
}

// machineSpec is one machine with its instance.
type machineSpec struct {
	zone    string
	service string
	slots   int
}

// configuration is the operator's configuration.
type configuration struct {
	Version  string          `json:"config_version"`
	Routes   []route         `json:"routes"`
	Services []serviceConfig `json:"services"`
	Limits   limits          `json:"limits"`
}

type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Target   string `json:"target_latency"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

type serviceConfig struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type limits struct {
	HeaderBytes   int    `json:"max_header_bytes"`
	BodyBytes     int    `json:"max_body_bytes"`
	HeaderTimeout string `json:"header_timeout"`
	IdleTimeout   string `json:"idle_timeout"`
}

// usualLimits are the limits that the bench's example of a configuration shows.
var usualLimits = limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"}

// ports are the ports of a machine, the same on all machines.
type ports struct {
	client, peer, ready, app, status int
}

// fleet is a running deployment.
type fleet struct {
	record  *record
	folder  string // temporary
	program string
	store   *store
	server  *http.Server // of the store
	ports   ports
	nodes   []*node
}

// newFleet starts a deployment and waits until all machines are ready and in touch.
func newFleet(rec *record, program string, spec *fleetSpec) (*fleet, error) {
	f := &fleet{record: rec, program: program, store: newStore()}
	var err error
	if f.folder, err = os.MkdirTemp("", "galenacart-review-"); err != nil {
		return f, err
	}
	storeListener, err := net.Listen("tcp", "127.0.1.1:0")
	if err != nil {
		return f, err
	}
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(storeListener) }() // ends when the server is closed
	if err := f.choosePorts(len(spec.machines)); err != nil {
		return f, err
	}
	text, err := json.Marshal(&spec.config)
	if err != nil {
		return f, err
	}
	f.store.put("op/config", string(text))
	for i, m := range spec.machines {
		n, err := f.addNode(i, m, storeListener.Addr().String())
		if err != nil {
			return f, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return f, err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(); err != nil {
			return f, err
		}
	}
	time.Sleep(boundContact + time.Second) // from now on all machines are in touch
	rec.logf("%d nodes are ready and in touch", len(f.nodes))
	return f, nil
}

func machineIP(index int) string { return "127.0.0." + strconv.Itoa(11+index) }

// choosePorts finds ports that are free on all machines.
func (f *fleet) choosePorts(machines int) error {
	for _, port := range []*int{&f.ports.client, &f.ports.peer, &f.ports.ready, &f.ports.app, &f.ports.status} {
		free, err := freePort(machines)
		if err != nil {
			return err
		}
		*port = free
	}
	return nil
}

// freePort returns a port that is free at the addresses of all machines.
func freePort(machines int) (int, error) {
	const tries = 50
	for range tries {
		first, err := net.Listen("tcp", machineIP(0)+":0")
		if err != nil {
			return 0, err
		}
		address, _ := first.Addr().(*net.TCPAddr)
		_ = first.Close() // it was opened only to find the port
		if freeOnAll(address.Port, machines) {
			return address.Port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on %d addresses", machines)
}

func freeOnAll(port, machines int) bool {
	for i := range machines {
		l, err := net.Listen("tcp", net.JoinHostPort(machineIP(i), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close() // it was opened only to test the port
	}
	return true
}

// node is one machine: a node process and the instance beside it.
type node struct {
	fleet    *fleet
	spec     machineSpec
	vm       string
	ip       string
	settings string // path
	instance *instance
	sequence int

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

func (f *fleet) addNode(index int, spec machineSpec, platform string) (*node, error) {
	n := &node{fleet: f, spec: spec, vm: fmt.Sprintf("sidecar-%s-%d", spec.zone, index+1), ip: machineIP(index)}
	var err error
	if n.instance, err = startInstance(f.record, fmt.Sprintf("i-%s-%d", spec.service, index+1), n.address(f.ports.app), spec.slots); err != nil {
		return nil, err
	}
	n.publish("ready")
	n.settings = filepath.Join(f.folder, n.vm+".json")
	text, err := json.Marshal(map[string]any{
		"vm": n.vm, "availabilityZone": spec.zone, "region": "region-1", "service": spec.service,
		"clientAddress": n.address(f.ports.client), "peerAddress": n.address(f.ports.peer), "readinessAddress": n.address(f.ports.ready),
		"endpointAddress": n.address(f.ports.app), "statusAddress": n.address(f.ports.status), "platformAddress": platform,
		"stopTimeout": "6s", "memoryMb": memoryLimitMB, "retryRatio": 0.2, "retryAllowance": 50, "retryWindow": "10s", "updateBound": "2000ms",
	})
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, text, 0o600)
}

// memoryLimitMB is the memory of a machine of the small site files.
const memoryLimitMB = 284

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

func (n *node) clientAddress() string { return n.address(n.fleet.ports.client) }

// bornMs is the start of all instances.
var bornMs = time.Now().UnixMilli()

// publish writes the entry of the instance. Its return is the store's acknowledgement.
func (n *node) publish(state string) time.Time {
	n.sequence++
	n.fleet.store.put("servers/"+n.instance.id, fmt.Sprintf(
		`{"address":%q,"node_info":{"service":%q,"config_version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"warmup_left":"0ms"},"born":%d}`,
		n.address(n.fleet.ports.app), n.spec.service, n.spec.zone, n.spec.slots, state, n.sequence, bornMs))
	n.fleet.record.logf("the store acknowledged that instance %s is %s", n.instance.id, state)
	return time.Now()
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(n.fleet.program, "serve", "-settings", n.settings)
	command.Stderr = log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GALENACART_SETTINGS=" + n.settings}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended = command, ended
	n.mu.Unlock()
	n.fleet.record.logf("node %s started, process %d", n.vm, command.Process.Pid)
	go func() {
		err := command.Wait()
		n.fleet.record.logf("node %s: process %d ended: %v", n.vm, command.Process.Pid, err)
		_ = log.Close() // the process has written all
		close(ended)
	}()
	return nil
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

// awaitEnd waits for the end of the process.
func (n *node) awaitEnd(timeout time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

func (n *node) signal(s syscall.Signal) {
	n.fleet.record.logf("signal %v to node %s", s, n.vm)
	_ = syscall.Kill(n.pid(), s) // it may have ended already
}

// awaitReady waits until the node answers the readiness check with 200.
func (n *node) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for time.Now().Before(until) {
		if n.ready() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready after %v", n.vm, readyTimeout)
}

func (n *node) ready() bool {
	check := &http.Client{Timeout: time.Second}
	response, err := check.Get("http://" + n.address(n.fleet.ports.ready) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

// close ends all processes and servers that the case started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.command != nil {
			_ = syscall.Kill(n.pid(), syscall.SIGKILL) // it may have ended already
			n.awaitEnd(time.Second)
		}
		n.instance.exit()
	}
	if f.server != nil {
		_ = f.server.Close() // nothing uses it any more
	}
	if f.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // a temporary folder
	}
}

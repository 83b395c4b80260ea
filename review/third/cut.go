package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// gate is the way from other machines to a node's peer address: a proxy at the address that the
// machine's instance publishes. It can be cut for single pairs of machines.
type gate struct {
	machine *machine

	mu       sync.Mutex
	listener net.Listener
	links    map[net.Conn]link // by the connection that was accepted
	isCut    func(from, to *machine) bool
}

// link is one connection through a gate.
type link struct {
	from   *machine
	onward net.Conn
}

// listen opens the gate.
func (g *gate) listen() error {
	l, err := net.Listen("tcp", g.machine.ip+":"+portPeer)
	if err != nil {
		return errors.Wrap(err, "the gate's address")
	}
	g.listener, g.links = l, make(map[net.Conn]link)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // it was closed
			}
			go g.pass(c)
		}
	}()
	return nil
}

// pass passes one connection on.
func (g *gate) pass(c net.Conn) {
	from := g.machine.fleet.ownerOf(c)
	for tries := 0; from == nil && tries < 50; tries++ { // the table of sockets isn't read in one step
		time.Sleep(time.Millisecond)
		from = g.machine.fleet.ownerOf(c)
	}
	if from == nil {
		g.machine.fleet.log("a connection to %s has no owner and is refused", g.machine.name)
		reset(c)
		return
	}
	g.mu.Lock()
	refused := g.isCut != nil && g.isCut(from, g.machine)
	g.mu.Unlock()
	if refused {
		reset(c)
		return
	}
	onward, err := net.Dial("tcp", g.machine.privateIP+":"+portPeer)
	if err != nil {
		reset(c)
		return
	}
	g.mu.Lock()
	g.links[c] = link{from: from, onward: onward}
	g.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { copyTo(onward, c) })
	both.Go(func() { copyTo(c, onward) })
	both.Wait()
	g.mu.Lock()
	delete(g.links, c)
	g.mu.Unlock()
}

func copyTo(to, from net.Conn) {
	_, _ = io.Copy(to, from) // one side has ended
	_ = to.Close()
	_ = from.Close()
}

// cut ends the connections of the pairs for which isCut is true, and refuses further ones. It opens
// the gate again if isCut is nil.
func (g *gate) cut(isCut func(from, to *machine) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isCut = isCut
	for c, l := range g.links {
		if isCut != nil && isCut(l.from, g.machine) {
			reset(c)
			reset(l.onward)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// cutOff partitions a machine from the store and from all other machines of the system: its
// connections end and new ones are refused.
func (f *fleet) cutOff(alone *machine) {
	f.note("%s is cut off from the store and the other machines", alone.name)
	f.store.refuse(alone)
	for _, m := range f.machines {
		m.gate.cut(func(from, to *machine) bool { return from == alone || to == alone })
	}
}

// heal ends the partition.
func (f *fleet) heal(alone *machine) error {
	f.note("the cut has healed")
	for _, m := range f.machines {
		m.gate.cut(nil)
	}
	return f.store.listen(alone)
}

// ownerOf returns the machine whose node opened a connection, as the table of sockets of the
// operating system shows it, or nil.
func (f *fleet) ownerOf(c net.Conn) *machine {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	local, alsoOK := c.LocalAddr().(*net.TCPAddr)
	if !ok || !alsoOK {
		return nil
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	inode := ""
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == hexAddress(remote) && fields[2] == hexAddress(local) {
			inode = fields[9]
		}
	}
	if inode == "" || inode == "0" {
		return nil
	}
	for _, m := range f.machines {
		if m.holdsSocket(inode) {
			return m
		}
	}
	return nil
}

// hexAddress returns an address as the table of sockets has it.
func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

func (m *machine) holdsSocket(inode string) bool {
	m.mu.Lock()
	c := m.process
	m.mu.Unlock()
	if c == nil {
		return false
	}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", c.Process.Pid)) // the pattern is valid
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

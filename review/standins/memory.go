package main

import (
	"bytes"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryPollInterval is the time between two looks at the memory of a process.
const memoryPollInterval = 2 * time.Millisecond

// memoryGuard kills a process that exceeds the memory of its machine, as the platform does.
type memoryGuard struct {
	node    *node
	peak    atomic.Int64
	killed  atomic.Bool
	stopped chan struct{}
}

func guardMemory(n *node) *memoryGuard {
	g := &memoryGuard{node: n, stopped: make(chan struct{})}
	go g.run()
	return g
}

func (g *memoryGuard) run() {
	ticker := time.NewTicker(memoryPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stopped:
			return
		case <-ticker.C:
		}
		resident := residentBytes(g.node.pid())
		g.peak.Store(max(g.peak.Load(), resident))
		if resident > memoryLimitMB<<20 {
			g.killed.Store(true)
			g.node.fleet.record.logf("node %s has %d MB resident; the platform kills it at %d MB", g.node.vm, resident>>20, memoryLimitMB)
			g.node.signal(syscall.SIGKILL)
			return
		}
	}
}

func (g *memoryGuard) stop() {
	close(g.stopped)
}

// peakMB returns the largest resident memory seen.
func (g *memoryGuard) peakMB() int64 { return g.peak.Load() >> 20 }

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

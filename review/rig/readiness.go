package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the time between two questions to a node.
	readinessInterval = time.Second
	// readinessTimeout is how long the platform waits for an answer.
	readinessTimeout = 500 * time.Millisecond
	// missesMax is the number of misses after which a machine's clients get no new work.
	missesMax = 2
)

// readiness plays the platform's readiness check of the nodes of one zone.
type readiness struct {
	machines []*machine

	mu     sync.Mutex
	misses map[*machine]int
}

// watchReadiness asks every node of a zone once a second until the case is over.
func watchReadiness(f *fleet, zone string) *readiness {
	r := &readiness{misses: make(map[*machine]int)}
	for _, m := range f.machines {
		if m.zone == zone {
			r.machines = append(r.machines, m)
		}
	}
	for _, m := range r.machines {
		go func() {
			for range time.Tick(readinessInterval) {
				r.count(m, m.ready())
			}
		}()
	}
	return r
}

// ready asks a node's readiness check once.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readinessTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.at(2)+"/readiness", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status counts
	return response.StatusCode == http.StatusOK
}

func (r *readiness) count(m *machine, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ready {
		r.misses[m] = 0
		return
	}
	r.misses[m]++
	m.fleet.record.line("readiness of %s: miss %d", m.name, r.misses[m])
}

// getsWork reports whether the clients on a machine receive new work: its node is in, or fewer than
// half of the zone's nodes are.
func (r *readiness) getsWork(m *machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	in := 0
	for _, one := range r.machines {
		if r.misses[one] < missesMax {
			in++
		}
	}
	return r.misses[m] < missesMax || 2*in < len(r.machines)
}

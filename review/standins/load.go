package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// viewDeadline is the time that a client gives a view, as the site file's standings have it.
const viewDeadline = 10 * time.Second

// load sends requests, views by default, at a steady rate, each on a connection of its own.
type load struct {
	fleet    *fleet
	name     string
	method   string
	path     string
	deadline time.Duration

	mu      sync.Mutex
	answers []*answer
	group   sync.WaitGroup
}

func newLoad(f *fleet, name string) *load {
	return &load{fleet: f, name: name, method: http.MethodGet, path: "/view/", deadline: viewDeadline}
}

// send sends count requests to a node, one each interval. It returns when all are sent.
func (l *load) send(n *node, count int, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for k := range count {
		attempt := fmt.Sprintf("%s-%d", l.name, k+1)
		l.group.Go(func() { l.sendOne(n, attempt) })
		<-ticker.C
	}
}

func (l *load) sendOne(n *node, attempt string) {
	c, err := newClient(l.fleet.record, "client of "+attempt, n.clientAddress())
	if err != nil {
		l.fleet.record.logf("client of %s: no connection, so nothing was sent: %v", attempt, err)
		return
	}
	defer c.close()
	a := c.do(&request{attempt: attempt, method: l.method, path: l.path + attempt, deadline: l.deadline})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// wait waits for all answers and returns them.
func (l *load) wait() []*answer {
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}

// byStatus counts answers by their status; 0 means that the connection ended without one.
func byStatus(answers []*answer) map[int]int {
	counts := make(map[int]int)
	for _, a := range answers {
		counts[a.status]++
	}
	return counts
}

// busyFleet is a fleet whose service has fewer slots than its load needs.
var busyFleet = fleetSpec{
	machines: []machineSpec{
		{zone: "zone-a", service: "front", slots: 54},
		{zone: "zone-a", service: "points", slots: 10},
		{zone: "zone-b", service: "points", slots: 10},
	},
	config: configuration{
		Version: "r3", Routes: []route{view("points", "5000ms"), book("points", "1500ms")}, Services: services("front", "points"), Limits: usualLimits,
	},
}

const (
	// viewWork is the time that a view takes: the site file allows up to 5.3 s at a usual
	// instance and has 0.88 s as the mean, and 1.4 s at the slow one.
	viewWork = 2200 * time.Millisecond
	// viewTimeout is the timeout of the route, as the site file's standings have it. A request
	// that is cut within viewTimeoutMargin of it isn't counted.
	viewTimeout       = 5 * time.Second
	viewTimeoutMargin = 200 * time.Millisecond
	// viewInterval gives 20 views a second; the site file has 21 standings a second.
	viewInterval = 50 * time.Millisecond
)

func constantWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

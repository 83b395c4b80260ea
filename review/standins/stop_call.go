package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lookupWork is within what the site file allows a call: 0.33 s, 1.6 times as long at a slow
	// instance.
	lookupWork = 330 * time.Millisecond
	// longViews run at the instance beside the stopped node, each with longViewCalls calls of its
	// own in turn.
	longViews     = 4
	longViewCalls = 14
	// longViewsAfter is the time from the signal until they are sent, at another node.
	longViewsAfter = 1200 * time.Millisecond
	// excusedUntil is the latest time after the signal for which a request at work in the last
	// sixth of the grace time is excused.
	excusedUntil = 3 * time.Second
	// learningViews are sent before, so that the nodes learn who calls whom.
	learningViews = 8
)

// callFleet is a fleet in which the instance of one service calls another service.
var callFleet = fleetSpec{
	machines: busyFleet.machines,
	config: configuration{
		Version: "r3", Services: services("front", "points"), Limits: usualLimits,
		Routes: []route{view("front", "5000ms"), lookupRoute()},
	},
}

func lookupRoute() route {
	r := view("points", "2500ms")
	r.Name, r.Prefix, r.Priority = "lookup", "/lookup/", 1
	return r
}

// caller makes the calls of an instance through the node of its machine.
type caller struct {
	node  *node
	count atomic.Int64

	mu      sync.Mutex
	answers []*answer
}

// call makes the calls of one request in turn. It returns false if one of them failed.
func (c *caller) call(r *http.Request) bool {
	for range longViewCalls {
		connection, err := newClient(c.node.fleet.record, "instance "+c.node.instance.id, c.node.clientAddress())
		if err != nil {
			return false
		}
		a := connection.do(&request{
			attempt: fmt.Sprintf("%s.call-%d", r.Header.Get(headerAttempt), c.count.Add(1)), method: http.MethodGet, path: "/lookup/1",
			deadline: 2500 * time.Millisecond,
		})
		connection.close()
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		if a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// playStopCall stops the node beside an instance that runs long requests and makes calls.
func playStopCall(f *fleet, trouble bool) (verdict, error) {
	stopped, other := f.nodes[0], f.nodes[1]
	c := &caller{node: stopped}
	stopped.instance.call = c.call
	learning := newLoad(f, "learning")
	learning.paths = []string{"/view/"}
	learning.send(f.nodes[1:], learningViews, viewInterval)
	learning.wait()
	for _, n := range f.nodes[1:] {
		n.instance.work = constantWork(lookupWork)
	}
	stoppedAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
	}
	time.Sleep(longViewsAfter)
	views := newLoad(f, "view")
	views.paths = []string{"/view/"}
	views.send([]*node{other}, longViews, viewInterval)
	views.wait()
	return verdictOfCalls(f, c, stoppedAt), nil
}

// verdictOfCalls counts the calls that were sent late enough to be refused, passed on to an
// instance and cut without an answer.
func verdictOfCalls(f *fleet, c *caller, stoppedAt time.Time) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost, answered := 0, 0
	for _, a := range c.answers {
		since := a.sentAt.Sub(stoppedAt)
		if a.status != 0 {
			answered++
		}
		if a.status != 0 || since <= excusedUntil || !f.reached(a.request.attempt) || !strings.Contains(a.request.attempt, ".call-") {
			continue
		}
		lost++
		f.record.logf("%s: sent %.3f s after the signal, passed on, cut %.3f s after the signal", a.request.attempt, since.Seconds(), a.endedAt.Sub(stoppedAt).Seconds())
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d calls got an answer, %d were passed on to an instance and cut without one", answered, lost)}
}

// reached reports whether an instance began to run a request.
func (f *fleet) reached(attempt string) bool {
	for _, n := range f.nodes {
		for _, a := range n.instance.arrived() {
			if a.attempt == attempt {
				return true
			}
		}
	}
	return false
}

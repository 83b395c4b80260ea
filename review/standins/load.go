package main

import (
	"fmt"
	"net/http"
	"strings"
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
	paths    []string
	deadline time.Duration
	sent     int

	mu      sync.Mutex
	answers []*answer
	group   sync.WaitGroup
}

func newLoad(f *fleet, name string) *load {
	return &load{fleet: f, name: name, method: http.MethodGet, paths: viewPaths, deadline: viewDeadline}
}

// send sends count requests, one each interval, to nodes in turn. It returns when all are sent.
func (l *load) send(nodes []*node, count int, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for k := range count {
		l.sent++
		attempt := fmt.Sprintf("%s-%d", l.name, l.sent)
		l.group.Go(func() { l.sendOne(nodes[k%len(nodes)], l.paths[k/len(nodes)%len(l.paths)], attempt) })
		<-ticker.C
	}
}

func (l *load) sendOne(n *node, path, attempt string) {
	c, err := newClient(l.fleet.record, "client of "+attempt, n.clientAddress())
	if err != nil {
		l.fleet.record.logf("client of %s: no connection, so nothing was sent: %v", attempt, err)
		return
	}
	defer c.close()
	a := c.do(&request{attempt: attempt, method: l.method, path: path + attempt, deadline: l.deadline})
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

// routesPerKind is the number of routes that lead to the busy service, of each kind.
const routesPerKind = 12

// busyFleet is a fleet whose service gets the requests of many routes, with more than it can
// serve.
var busyFleet = fleetSpec{
	machines: []machineSpec{
		{zone: "zone-a", service: "front", slots: 54},
		{zone: "zone-a", service: "points", slots: 10},
		{zone: "zone-b", service: "points", slots: 10},
	},
	config: configuration{Version: "r3", Routes: busyRoutes(), Services: services("front", "points"), Limits: usualLimits},
}

func busyRoutes() []route {
	var out []route
	for k := range routesPerKind {
		views, bookings := view("points", "5000ms"), book("points", "1500ms")
		views.Name, views.Prefix = fmt.Sprintf("view-%d", k), viewPaths[k]
		bookings.Name, bookings.Prefix = fmt.Sprintf("book-%d", k), bookPaths[k]
		out = append(out, views, bookings)
	}
	return out
}

// viewPaths and bookPaths are the prefixes of the routes.
var viewPaths, bookPaths = numbered("/view/"), numbered("/book/")

func numbered(prefix string) []string {
	var out []string
	for k := range routesPerKind {
		out = append(out, fmt.Sprintf("%s%d/", prefix, k))
	}
	return out
}

const (
	// viewWork and longViewWork are the times that views take: the site file allows up to 5.3 s at a usual
	// instance, with 0.88 s as the mean, and takes 1.6 times as long at the slow one.
	viewWork     = 2200 * time.Millisecond
	longViewWork = 2600 * time.Millisecond
	// viewTimeout is the timeout of the route, as the site file's standings have it. A request
	// that is cut within viewTimeoutMargin of it isn't counted.
	viewTimeout       = 5 * time.Second
	viewTimeoutMargin = 200 * time.Millisecond
	// viewInterval gives 20 views a second; the site file has 21 standings a second.
	viewInterval = 50 * time.Millisecond
)

// bookWork and bookInterval make bookings alone take all slots: 9 of 10 at each of two instances.
const (
	bookWork     = 700 * time.Millisecond
	bookInterval = 30 * time.Millisecond
)

// workByPath is the time that a request takes by its route.
func workByPath(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/book/") {
		return bookWork
	}
	return viewWork
}

// newBookings is a load of requests that may run once and are more urgent than views.
func newBookings(f *fleet) *load {
	l := newLoad(f, "booking")
	l.method, l.paths, l.deadline = http.MethodPost, bookPaths, 5*time.Second
	return l
}

func constantWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The figures of the pages that the case of a rolling restart uses: the route `walk-history` of the
// small site zampa-giri, the roll_term of its days and the rule's bounds.
const (
	workMean      = 550.0 // ms
	workSpread    = 0.8
	workTailShare = 0.01
	workTailTimes = 3
	workMax       = 3300.0 // ms
	routeTimeout  = 3 * time.Second
	clientWait    = 6 * time.Second
	rollGap       = time.Second
	grace         = 6 * time.Second
	// excusedUntil is the time after the SIGTERM up to which requests are sent that may be broken
	// off in the last sixth of the grace: 3 s, and a margin for the time at which the signal is noted.
	excusedUntil = 3050 * time.Millisecond
	// requestsEvery is the mean distance of a machine's requests for one service: 61 % of the
	// instances' slots are busy.
	requestsEvery = 66 * time.Millisecond
)

// drawWork draws how long a request takes at its instance.
func drawWork() time.Duration {
	ms := math.Exp(math.Log(workMean) - workSpread*workSpread/2 + workSpread*rand.NormFloat64())
	if rand.Float64() < workTailShare {
		ms *= workTailTimes
	}
	return time.Duration(min(ms, workMax) * float64(time.Millisecond))
}

// roll is the state of a rolling restart.
type roll struct {
	*run
	pollers map[*machine]*readiness
	clients []*client
	signals map[*machine][]time.Time // the SIGTERMs, by machine
}

// mayStart reports whether a machine's clients get new work.
func (r *roll) mayStart(m *machine) bool {
	in, size := 0, 0
	for other, p := range r.pollers {
		if other.zone == m.zone {
			size++
			if p.in() {
				in++
			}
		}
	}
	return r.pollers[m].in() || 2*in < size
}

// stopOne stops a machine's node as the platform does, and starts it again.
func (r *roll) stopOne(m *machine) error {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-ended
	}
	return m.startNode()
}

// rollZone stops a zone's machines one after the other, and waits until all are ready again.
func (r *roll) rollZone(zone string) error {
	failures := make(chan error, len(r.machines))
	count := 0
	for _, m := range r.machines {
		if m.zone != zone {
			continue
		}
		count++
		if r.trouble {
			r.signals[m] = append(r.signals[m], time.Now())
			go func() { failures <- r.stopOne(m) }()
		} else {
			failures <- nil
		}
		time.Sleep(rollGap)
	}
	for range count {
		if err := <-failures; err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if !m.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready again", m.name)
		}
	}
	return nil
}

// runStop rolls the nodes of three zones, twice each, under usual traffic.
func runStop(r *run) (broken bool, err error) {
	services := []string{"svc1", "svc2", "svc3", "svc4"}
	zones := []string{"zone-1", "zone-2", "zone-3"}
	for _, zone := range zones {
		for _, s := range services {
			r.addMachine(zone, s)
		}
	}
	if err := r.startAll(configuration(routeTimeout, services...)); err != nil {
		return false, err
	}
	o := &roll{run: r, pollers: make(map[*machine]*readiness), signals: make(map[*machine][]time.Time)}
	stop := make(chan struct{})
	for _, m := range r.machines {
		o.pollers[m] = &readiness{machine: m}
	}
	for _, m := range r.machines {
		go o.pollers[m].poll(stop)
		for _, s := range services {
			c := &client{machine: m, method: "GET", host: s + ".example", path: "/" + s + "/", deadline: clientWait}
			o.clients = append(o.clients, c)
			go c.sendEvery(requestsEvery, drawWork, func() bool { return o.mayStart(m) }, stop)
		}
	}
	time.Sleep(10 * time.Second)
	for _, zone := range slices.Concat(zones, zones) {
		r.note("the nodes of %s are stopped and started in turn", zone)
		if err := o.rollZone(zone); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	for _, c := range o.clients {
		c.pending.Wait()
	}
	return o.judge() > 0, nil
}

// judge counts the requests that a stopping node broke off though their instance was at work.
func (r *roll) judge() int {
	runs := make(map[string][]arrival)
	for _, m := range r.machines {
		for _, a := range m.instance.all() {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	total, during, broken := 0, 0, 0
	for _, c := range r.clients {
		for _, one := range c.all() {
			total++
			stopped, since := r.stopOf(one)
			if !stopped {
				continue
			}
			during++
			lost := r.brokenOff(one, runs[one.id])
			if lost {
				broken++
			}
			r.log("request %s (work %v) sent %.3f s after the SIGTERM of %s: ended after %.3f s, status %d, sealed %t %s; %s; broken %t",
				one.id, one.work, since.Seconds(), one.machine.name, one.ended.Sub(one.sent).Seconds(), one.status, one.sealed, one.problem, r.describe(runs[one.id]), lost)
		}
	}
	r.note("%d requests, %d of them sent more than %v after a SIGTERM of their machine; %d of these were broken off while their instance was at work", total, during, excusedUntil, broken)
	return broken
}

// stopOf reports whether a request was sent to a stopping node so late that nothing excuses its loss.
func (r *roll) stopOf(one request) (stopped bool, since time.Duration) {
	for _, at := range r.signals[one.machine] {
		if since = one.sent.Sub(at); since > excusedUntil && since <= grace {
			return true, since
		}
	}
	return false, 0
}

// brokenOff reports whether a request got no answer of an instance before its route's time-out though
// an instance was at work on it, which didn't break off.
func (r *roll) brokenOff(one request, runs []arrival) bool {
	if one.sealed || one.ended.Sub(one.sent) >= routeTimeout {
		return false
	}
	for _, a := range runs {
		if a.status == 0 && a.ended.Sub(a.at) < one.work {
			return true
		}
	}
	return false
}

func (r *roll) describe(runs []arrival) string {
	var out []string
	for _, a := range runs {
		out = append(out, fmt.Sprintf("at %s for %.3f s, status %d, not run %t", a.instance, a.ended.Sub(a.at).Seconds(), a.status, a.notRun))
	}
	if len(out) == 0 {
		return "at no instance"
	}
	return strings.Join(out, ", ")
}

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// The bounds of the pages that the case of leaving instances uses.
const (
	drainBound = 2 * time.Second
	// cutTime is the longest partition of a machine in the small site files.
	cutTime = 5500 * time.Millisecond
	// leavesAfter is the time from the start of the cut to the removal of the first instance's entry.
	leavesAfter = 3 * time.Second
	// secondLeavesAfter is the time from the end of the cut to the second instance's report.
	secondLeavesAfter = 1500 * time.Millisecond
	// servesOn is how long an instance goes on serving after its entry was removed: the drain
	// time and "at times many seconds".
	servesOn = 8 * time.Second
)

// route is one route of a configuration.
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

// configuration returns a configuration with one idempotent route for each service.
func configuration(timeout time.Duration, services ...string) string {
	var c struct {
		Version  string           `json:"config_version"`
		Routes   []route          `json:"routes"`
		Services []map[string]any `json:"services"`
		Limits   map[string]any   `json:"limits"`
	}
	c.Version = "r7"
	for i, s := range services {
		c.Routes = append(c.Routes, route{
			Name: "r-" + s, Host: s + ".example", Prefix: "/" + s + "/", Kind: "idempotent", Timeout: timeout.String(),
			Target: "1500ms", Priority: i, Service: s, Attempts: 2,
		})
		c.Services = append(c.Services, map[string]any{
			"name": s, "health_path": "/healthcheck", "max_connections": 424, "protocol": "h1", "tls": false,
		})
	}
	c.Limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
	data, _ := json.Marshal(c) // every value can be encoded
	return string(data)
}

// roles are the machines of a zone by how they learn of changes.
type roles struct {
	follower *machine // follows a reader
	followed *machine // the reader that it follows
	other    *machine // the zone's other reader
}

// rolesOf finds the roles in a zone of three machines by what the store and the logs show.
func (r *run) rolesOf(zone string) (roles, error) {
	var out roles
	var readers []*machine
	for _, m := range r.machines {
		switch {
		case m.zone != zone:
		case r.store.reads(m):
			readers = append(readers, m)
		default:
			out.follower = m
		}
	}
	if out.follower == nil || len(readers) != 2 {
		return out, errors.Errorf("zone %s has %d readers", zone, len(readers))
	}
	found := out.follower.eventsNamed("reader_heard")
	if len(found) == 0 {
		return out, errors.Errorf("%s follows no reader", out.follower.name)
	}
	latest := found[len(found)-1].text
	out.followed, out.other = readers[0], readers[1]
	if strings.Contains(latest, readers[1].ip+":") {
		out.followed, out.other = readers[1], readers[0]
	}
	return out, nil
}

// runDrain cuts a reader of a zone off for a while. Meanwhile an instance of the zone leaves, and
// after the cut a second one, beside the zone's other reader.
func runDrain(r *run) (broken bool, err error) {
	services := []string{"svc1", "svc2", "svc3"}
	for zone := range 4 {
		for _, s := range services {
			r.addMachine(fmt.Sprintf("zone-%d", zone+1), s)
		}
	}
	if err := r.startAll(configuration(1500*time.Millisecond, services...)); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second) // traffic starts 8 s after the machines do
	z, err := r.rolesOf("zone-1")
	if err != nil {
		return false, err
	}
	leaving := z.follower.instance
	r.note("%s follows %s; the other reader is %s; instance %s will leave", z.follower.name, z.followed.name, z.other.name, leaving.id)
	c := &client{machine: z.follower, method: "GET", host: z.follower.service + ".example", path: "/" + z.follower.service + "/", deadline: 5 * time.Second}
	stop := make(chan struct{})
	go c.sendEvery(25*time.Millisecond, func() time.Duration { return 60 * time.Millisecond }, func() bool { return true }, stop)
	time.Sleep(2 * time.Second)

	begun := time.Now()
	if r.trouble {
		r.cutOff(z.other)
	}
	time.Sleep(time.Until(begun.Add(leavesAfter)))
	gone := leaving.leave()
	time.Sleep(time.Until(begun.Add(cutTime)))
	if r.trouble {
		if err := r.heal(z.other); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begun.Add(cutTime + secondLeavesAfter)))
	z.followed.instance.drain()
	time.Sleep(time.Until(gone.Add(servesOn)))
	leaving.exit()
	close(stop)
	c.pending.Wait()
	return r.lateArrivals(c, leaving, gone) > 0, nil
}

// lateArrivals counts the requests that reached an instance later than the drain time after the store
// had acknowledged that it is gone.
func (r *run) lateArrivals(c *client, i *instance, gone time.Time) int {
	sent := make(map[string]request)
	for _, one := range c.all() {
		sent[one.id] = one
		r.log("request %s at %s: sent %.3f, ended %.3f, status %d sealed %t %s", one.id, one.machine.name, r.seconds(one.sent), r.seconds(one.ended), one.status, one.sealed, one.problem)
	}
	late, latest := 0, time.Duration(0)
	for _, a := range i.all() {
		after := a.at.Sub(gone)
		if after <= 0 {
			continue
		}
		one, known := sent[a.id]
		r.log("instance %s: request %s reached it %.3f s after the store had acknowledged its end; status %d, not run %t, a client sent it %t", i.id, a.id, after.Seconds(), a.status, a.notRun, known)
		if after > drainBound && known && a.status != 421 {
			late, latest = late+1, max(latest, after)
			r.log("  broken: it was sent at %.3f at %s, whose machine and store had no disruption", r.seconds(one.sent), one.machine.name)
		}
	}
	r.note("%d requests reached %s later than %v after the acknowledgement at %.3f, the last of them %v after it", late, i.id, drainBound, r.seconds(gone), latest.Round(time.Millisecond))
	return late
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// failingViews run at one instance, which answers them with a 500 of its own.
	failingViews = 3
	// quietViews are sent before, one each quietInterval, so that the nodes learn that views make
	// no calls and what was sent before their start no longer bounds the retries.
	quietViews    = 140
	quietInterval = 60 * time.Millisecond
	// leavingAfterSend is the time from the views until the other instance leaves.
	leavingAfterSend = 200 * time.Millisecond
)

// retryFleet has two instances of a service in different zones.
var retryFleet = fleetSpec{
	machines: []machineSpec{
		{zone: "zone-a", service: "front", slots: 54},
		{zone: "zone-a", service: "points", slots: 38},
		{zone: "zone-b", service: "points", slots: 38},
	},
	config: configuration{Version: "r3", Services: services("front", "points"), Limits: usualLimits, Routes: []route{view("points", "5000ms")}},
}

// quietWork is the time that the views before take, failingWork that of the others: twice that is
// less than the route's timeout.
const (
	quietWork   = 400 * time.Millisecond
	failingWork = 2450 * time.Millisecond
)

// workByName is the time that a view takes, by its path.
func workByName(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, "/view/quiet") {
		return quietWork
	}
	return failingWork
}

// playDrainRetry has one instance fail views while the other one leaves.
func playDrainRetry(f *fleet, trouble bool) (verdict, error) {
	failing, leaving := f.nodes[1], f.nodes[2]
	for _, n := range f.nodes {
		n.instance.work = workByName
	}
	quiet := newLoad(f, "quiet")
	quiet.paths = []string{"/view/quiet-"}
	quiet.send(f.nodes, quietViews, quietInterval)
	quiet.wait()
	failing.instance.call = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/view/quiet") }
	views := newLoad(f, "view")
	views.paths = []string{"/view/"}
	views.send(f.nodes[:1], failingViews, time.Millisecond)
	time.Sleep(leavingAfterSend)
	var acknowledged time.Time
	if trouble {
		acknowledged = leaving.publish("draining")
		time.Sleep(leavingServes)
		f.record.logf("instance %s exits", leaving.instance.id)
		leaving.instance.exit()
		f.store.remove("servers/" + leaving.instance.id)
	}
	f.record.logf("answers by status: %v", byStatus(views.wait()))
	if !trouble {
		return verdict{text: "no instance left"}, nil
	}
	late, lost := lateArrivals(f, leaving, acknowledged)
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests reached the leaving instance later than %v after the acknowledgement; %d of them were broken off when it exited", late, boundDrain, lost)}, nil
}

// lateArrivals counts the requests that reached an instance after the bound, and those of them
// that were broken off.
func lateArrivals(f *fleet, leaving *node, acknowledged time.Time) (late, lost int) {
	for _, a := range leaving.instance.arrived() {
		after := a.at.Sub(acknowledged)
		if after <= boundDrain+drainMargin {
			continue
		}
		late++
		if a.broken {
			lost++
		}
		f.record.logf("%s reached the instance %.3f s after the acknowledgement; broken off: %v", a.attempt, after.Seconds(), a.broken)
	}
	return late, lost
}

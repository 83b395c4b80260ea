package main

import (
	"time"
)

const (
	// arrivalSlack covers the way of a request from its client into the node.
	arrivalSlack = 50 * time.Millisecond
	// pauseAfter is the time from one version of the configuration to the silence, and changeAfter
	// that from the silence to the next version.
	pauseAfter  = 50 * time.Millisecond
	changeAfter = 450 * time.Millisecond
)

// playConfig changes the configuration twice, and the nodes' open connections to the store go
// silent in between.
func playConfig(f *fleet, trouble bool) (verdict, error) {
	var fronts []*machine
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		fronts = append(fronts, f.add("front", zone, callTime))
		f.add("booking", zone, callTime)
	}
	f.add("dispatch", "zone-a", callTime)
	services := []string{"front", "booking", "dispatch"}
	before := route{name: "r-booking", prefix: "/booking/", service: "booking", timeout: "1000ms"}
	extra := route{name: "r-extra", prefix: "/extra/", service: "front", timeout: "1000ms"}
	after := before
	after.service = "dispatch"
	f.configure(1, services, before)
	if err := f.start(); err != nil {
		return held, err
	}
	one := request{method: "POST", host: host, path: "/booking/2f", body: make([]byte, 1200), deadline: 5 * time.Second}
	var crowds []*crowd
	for _, m := range fronts {
		crowds = append(crowds, startCrowd(f.record, m, 8, 20*time.Millisecond, func() request { return one }))
	}
	time.Sleep(settleTime)
	f.configure(2, services, before, extra)
	time.Sleep(pauseAfter)
	silentAt := time.Now()
	if trouble {
		f.record.note("%d open connections of nodes to the store go silent", f.store.silence())
	}
	time.Sleep(changeAfter)
	f.configure(3, services, after, extra)
	changedAt := time.Now()
	f.record.note("the store has acknowledged r3, which moves /booking/ to dispatch")
	time.Sleep(time.Until(silentAt.Add(observedTime)))
	var all []attempt
	for _, c := range crowds {
		all = append(all, c.end()...)
	}
	return judgeConfig(f, silentAt, changedAt, all), nil
}

// judgeConfig applies the rule CONFIG to requests that were sent later than the bound.
func judgeConfig(f *fleet, silentAt, changedAt time.Time, all []attempt) verdict {
	bound := changedAt.Add(configApply)
	if inTouch := silentAt.Add(contact); bound.Before(inTouch) {
		bound = inTouch
	}
	services := make(map[string]string)
	for _, r := range f.ledger.all() {
		services[r.id] = r.service
	}
	late := 0
	var last time.Time
	for _, a := range all {
		if services[a.id] != "booking" {
			continue
		}
		last = a.sentAt
		if a.sentAt.After(bound.Add(arrivalSlack)) {
			late++
		}
	}
	f.record.note("requests: %s", tally(all))
	f.record.note("the last request that the old service ran was sent %d ms after r3, %d ms after the silence",
		last.Sub(changedAt).Milliseconds(), last.Sub(silentAt).Milliseconds())
	f.record.note("run by the old service though sent later than %v after r3, at machines in touch: %d", configApply, late)
	if late > 0 {
		return broken
	}
	return held
}

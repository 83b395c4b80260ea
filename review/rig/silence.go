package main

import (
	"time"
)

// Times of the case, from the moment at which open connections go silent.
const (
	removalAfter = 500 * time.Millisecond
	// silenceAfter is the time from the entry of the new instance to the silence.
	silenceAfter = 500 * time.Millisecond
	// serveTime is how long an instance serves after its entry was removed: the drain time and a
	// little longer.
	serveTime    = drain + 2*time.Second
	callTime     = 150 * time.Millisecond
	observedTime = 7 * time.Second
)

// lateSlack covers the time between a node's choice and the arrival at the instance.
const lateSlack = 100 * time.Millisecond

// playSilence replaces an instance: the new one starts first, and the old one is removed while the
// nodes' open connections to the store are silent.
func playSilence(f *fleet, trouble bool) (verdict, error) {
	var fronts []*machine
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		fronts = append(fronts, f.add("front", zone, callTime))
		f.add("booking", zone, callTime)
	}
	leaving, joining := f.machines[1], f.add("booking", "zone-a", callTime)
	joining.unlisted = true
	f.configure(1, []string{"front", "booking"}, route{name: "r-booking", prefix: "/booking/", service: "booking", timeout: "1000ms"})
	if err := f.start(); err != nil {
		return held, err
	}
	one := request{method: "POST", host: host, path: "/booking/2f", body: make([]byte, 1200), deadline: 5 * time.Second}
	var crowds []*crowd
	for _, m := range fronts {
		crowds = append(crowds, startCrowd(f.record, m, 8, 20*time.Millisecond, func() request { return one }))
	}
	time.Sleep(settleTime)
	joining.publish("ready")
	time.Sleep(silenceAfter)
	silentAt := time.Now()
	if trouble {
		f.record.note("%d open connections of nodes to the store go silent", f.store.silence())
	}
	time.Sleep(removalAfter)
	f.store.remove("servers/" + leaving.instance.id)
	removedAt := time.Now()
	f.record.note("the store has removed the entry of %s; it serves %v longer", leaving.instance.id, serveTime)
	time.Sleep(time.Until(removedAt.Add(serveTime)))
	leaving.instance.stop()
	time.Sleep(time.Until(silentAt.Add(observedTime)))
	var all []attempt
	for _, c := range crowds {
		all = append(all, c.end()...)
	}
	return judgeSilence(f, leaving, silentAt, removedAt, all), nil
}

// judgeSilence applies the rule DRAIN to the requests that reached the instance which is gone.
func judgeSilence(f *fleet, leaving *machine, silentAt, removedAt time.Time, all []attempt) verdict {
	bound := removedAt.Add(drain)
	if inTouch := silentAt.Add(contact); bound.Before(inTouch) {
		bound = inTouch
	}
	ends := make(map[string]attempt)
	for _, a := range all {
		ends[a.id] = a
	}
	late, lost := 0, 0
	var last time.Time
	for _, r := range f.ledger.all() {
		if r.instance != leaving.instance.id {
			continue
		}
		last = r.at
		if r.at.After(bound.Add(lateSlack)) && ends[r.id].sentAt.After(silentAt.Add(contact)) {
			late++
		}
		if !r.completed && ends[r.id].status != 200 {
			lost++
		}
	}
	f.record.note("requests: %s", tally(all))
	f.record.note("the last request reached %s %d ms after the removal of its entry, %d ms after the silence", leaving.instance.id,
		last.Sub(removedAt).Milliseconds(), last.Sub(silentAt).Milliseconds())
	f.record.note("reached it later than %v after the removal, from machines in touch: %d; broken off by its end: %d", drain, late, lost)
	if late > 0 {
		return broken
	}
	return held
}

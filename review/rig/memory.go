package main

import (
	"sync"
	"time"
)

// The requests of the case: those of ordinary clients, and some with large bodies, each about a third
// of what the limits of the configuration allow.
const (
	smallBodyBytes = 1200
	largeBodyBytes = 24 << 20
	largeRequests  = 8
	bookingTime    = 400 * time.Millisecond
	settleTime     = 4 * time.Second
)

// lostBound is the number of requests of kept connections that may be closed without an answer.
const lostBound = 3

// playMemory sends some large requests at once beside ordinary ones, within the limits of the configuration.
func playMemory(f *fleet, trouble bool) (verdict, error) {
	services := []string{"front", "booking"}
	origin := f.add("front", "zone-a", bookingTime)
	for _, zone := range []string{"zone-a", "zone-b"} {
		f.add("booking", zone, bookingTime)
	}
	for _, m := range f.machines {
		m.memoryWatched = true
	}
	f.configure(1, services, route{name: "r-booking", prefix: "/booking/", service: "booking", timeout: "4000ms"})
	if err := f.start(); err != nil {
		return held, err
	}
	small := request{method: "POST", host: host, path: "/booking/2f", body: make([]byte, smallBodyBytes), deadline: 5 * time.Second}
	large := small
	large.path = "/booking/photo"
	if trouble {
		large.body = make([]byte, largeBodyBytes)
	}
	ordinary := startCrowd(f.record, origin, 20, 10*time.Millisecond, func() request { return small })
	time.Sleep(settleTime)
	f.record.note("%d requests at once with bodies of %d bytes", largeRequests, len(large.body))
	uploads := make([]attempt, largeRequests)
	var waiting sync.WaitGroup
	for i := range uploads {
		waiting.Go(func() { uploads[i] = (&client{machine: origin, record: f.record}).send(large) })
	}
	waiting.Wait()
	time.Sleep(settleTime)
	return judgeMemory(f, origin, ordinary.end(), uploads), nil
}

// judgeMemory applies the rule LOST: a request of a kept connection that was passed on to a sound
// instance ends without an answer, more than three times.
func judgeMemory(f *fleet, origin *machine, ordinary, uploads []attempt) verdict {
	ran := make(map[string]bool)
	for _, r := range f.ledger.all() {
		ran[r.id] = true
	}
	lost := 0
	for _, a := range ordinary {
		if a.outcome == closed && ran[a.id] {
			lost++
		}
	}
	f.record.note("large requests: %s", tally(uploads))
	f.record.note("ordinary requests: %s", tally(ordinary))
	for _, m := range f.machines {
		f.record.note("node of %s (%s): most memory seen %d MB, killed %d times", m.name, m.service, m.peakKB>>10, m.kills)
	}
	f.record.note("passed on to an instance and closed without an answer at %s: %d; %d are allowed", origin.name, lost, lostBound)
	if lost > lostBound {
		return broken
	}
	return held
}

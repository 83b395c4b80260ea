package main

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// Times of the case.
const (
	// repairTime is the work of a request, and repairTimeout its route's timeout.
	repairTime    = 700 * time.Millisecond
	repairTimeout = 1500 * time.Millisecond
	grace         = 6 * time.Second
	// thinkTime is the longest pause of a client between an answer and its next request.
	thinkTime = 400 * time.Millisecond
	// sentBy and workSince excuse a request of which the instance is still at work in the last sixth
	// of the grace time, if it was sent in the first seconds of the stop.
	sentBy    = 3 * time.Second
	workSince = grace * 5 / 6
)

// playStop restarts the node of the machine whose clients send the requests. It is the only one of
// its zone, so that its clients go on sending to it.
func playStop(f *fleet, trouble bool) (verdict, error) {
	front := f.add("front", "zone-a", repairTime)
	for _, zone := range []string{"zone-b", "zone-b", "zone-c"} {
		f.add("booking", zone, repairTime)
	}
	f.configure(1, []string{"front", "booking"}, route{name: "r-booking", prefix: "/booking/", service: "booking", timeout: "1500ms"})
	if err := f.start(); err != nil {
		return held, err
	}
	check := watchReadiness(f, front.zone)
	one := request{method: "POST", host: host, path: "/booking/2f", body: make([]byte, 1200), deadline: 5 * time.Second}
	clients := startGatedCrowd(f.record, front, 32, 20*time.Millisecond, func() request {
		time.Sleep(rand.N(thinkTime))
		return one
	}, check.getsWork)
	time.Sleep(settleTime)
	stops := make(map[string]time.Time)
	if trouble {
		if err := front.signal(syscall.SIGTERM); err != nil {
			return held, err
		}
		stops[front.name] = time.Now()
	}
	time.Sleep(grace + 2*time.Second)
	return judgeStop(f, stops, clients.end()), nil
}

// judgeStop applies the rule LOST around the SIGTERM of the machine that took a request.
func judgeStop(f *fleet, stops map[string]time.Time, all []attempt) verdict {
	runs := make(map[string]run)
	for _, r := range f.ledger.all() {
		runs[r.id] = r
	}
	lost, excused := 0, 0
	for _, a := range all {
		stop, stopped := stops[a.machine]
		r, ran := runs[a.id]
		if !stopped || !ran || a.endedAt.Before(stop) || a.sentAt.After(stop.Add(grace+time.Second)) || !endedByNode(a) {
			continue
		}
		if !a.endedAt.Before(r.at.Add(repairTime)) || a.endedAt.Sub(a.sentAt) >= repairTimeout {
			continue // the instance had ended, or the route's timeout was reached
		}
		if a.sentAt.Before(stop.Add(sentBy)) && r.at.Add(repairTime).After(stop.Add(workSince)) {
			excused++
			continue
		}
		lost++
		f.record.line("lost: %s sent %d ms after the SIGTERM of %s, run, and ended by its node %d ms after the SIGTERM: %s, status %d",
			a.id, a.sentAt.Sub(stop).Milliseconds(), a.machine, a.endedAt.Sub(stop).Milliseconds(), a.outcome, a.status)
	}
	f.record.note("requests: %s", tally(all))
	f.record.note("ended by a stopping node while an instance was at work: %d; others that the rule excuses: %d", lost, excused)
	if lost > 0 {
		return broken
	}
	return held
}

// endedByNode reports whether a request got no answer of an instance and no promise.
func endedByNode(a attempt) bool {
	return a.outcome == closed || a.outcome == answered && (a.status == 502 || a.status == 504)
}

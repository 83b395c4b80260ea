package main

import (
	"time"
)

const (
	// machinesOfZone is the number of machines of the case's zone, less that of the service that
	// comes back.
	machinesOfZone = 8
	lookupTime     = 50 * time.Millisecond
	// withdrawnTime is how long the service is not in the configuration.
	withdrawnTime = 3 * time.Second
	steadyTime    = 12 * time.Second
	// servedDivisor and requestsMin are those of the rule CONFIG.
	servedDivisor = 4
	requestsMin   = 20
)

// playService removes a route with its service from the configuration and adds both again.
func playService(f *fleet, trouble bool) (verdict, error) {
	for range machinesOfZone {
		f.add("front", "zone-a", lookupTime)
	}
	f.add("booking", "zone-a", lookupTime)
	f.add("booking", "zone-a", lookupTime)
	first := route{name: "r-front", prefix: "/front/", service: "front", idempotent: true, timeout: "1000ms"}
	later := route{name: "r-booking", prefix: "/booking/", service: "booking", timeout: "1000ms"}
	f.configure(1, []string{"front", "booking"}, first, later)
	if err := f.start(); err != nil {
		return held, err
	}
	time.Sleep(8 * time.Second) // until few nodes of the zone read the store for the others
	f.record.note("r2 removes the route /booking/ and, with trouble, its service")
	if trouble {
		f.configure(2, []string{"front"}, first)
	} else {
		f.configure(2, []string{"front", "booking"}, first)
	}
	time.Sleep(withdrawnTime)
	f.record.note("r3 adds both again")
	f.configure(3, []string{"front", "booking"}, first, later)
	time.Sleep(contact)
	var fronts, bookings []attempt
	var crowds [2][]*crowd
	for _, m := range f.machines {
		crowds[0] = append(crowds[0], startCrowd(f.record, m, 1, 100*time.Millisecond, func() request {
			return request{method: "GET", host: host, path: "/front/2f", deadline: 3 * time.Second}
		}))
		crowds[1] = append(crowds[1], startCrowd(f.record, m, 1, 100*time.Millisecond, func() request {
			return request{method: "POST", host: host, path: "/booking/2f", body: make([]byte, 1200), deadline: 3 * time.Second}
		}))
	}
	time.Sleep(steadyTime)
	for i := range crowds[0] {
		fronts = append(fronts, crowds[0][i].end()...)
		bookings = append(bookings, crowds[1][i].end()...)
	}
	return judgeService(f, fronts, bookings), nil
}

// judgeService applies the rule CONFIG: routes that were added later are served less than a quarter
// as often as the first routes.
func judgeService(f *fleet, fronts, bookings []attempt) verdict {
	f.record.note("requests on the first route: %s", tally(fronts))
	f.record.note("requests on the route that was added again: %s", tally(bookings))
	for _, m := range f.machines {
		var own []attempt
		for _, a := range bookings {
			if a.machine == m.name {
				own = append(own, a)
			}
		}
		f.record.note("  of these at %s: %s", m.name, tally(own))
	}
	first, later := servedShare(fronts), servedShare(bookings)
	f.record.note("served: %.3f of the first route, %.3f of the later one; the bound is a quarter of the first", first, later)
	if len(bookings) >= requestsMin && later < first/servedDivisor {
		return broken
	}
	return held
}

func servedShare(all []attempt) float64 {
	served := 0
	for _, a := range all {
		if a.outcome == answered && a.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(len(all), 1))
}

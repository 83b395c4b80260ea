package main

import (
	"net/http"
	"slices"
	"time"
)

const (
	// fatalPause is the pause between two tries of a client whose request crashes instances.
	fatalPause   = 4 * time.Second
	reportTime   = 60 * time.Millisecond
	fatalTime    = 60 * time.Second
	retriesBound = 3
	fatalCrashes = 3
)

// playPoison has one caller's request crash every instance that runs it. Another caller sends a
// request with the same path and body, which is sound.
func playPoison(f *fleet, trouble bool) (verdict, error) {
	sick := []*machine{f.add("dispatch", "zone-a", reportTime), f.add("dispatch", "zone-b", reportTime)}
	sound := f.add("front", "zone-b", reportTime)
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		m := f.add("report", zone, reportTime)
		m.instance.fatal = func(r *http.Request, _ []byte) bool {
			return trouble && r.URL.Path == "/report/2f" && r.Header.Get(headerCaller) == "dispatch"
		}
	}
	f.configure(1, []string{"front", "dispatch", "report"},
		route{name: "r-report", prefix: "/report/", service: "report", timeout: "1000ms"},
		route{name: "r-order", prefix: "/order/", service: "report", timeout: "1000ms"})
	if err := f.start(); err != nil {
		return held, err
	}
	report := request{method: "POST", host: host, path: "/report/2f", body: []byte("all"), deadline: 3 * time.Second}
	order := request{method: "POST", host: host, path: "/order/7", body: make([]byte, 1200), deadline: 3 * time.Second}
	reports := startCrowd(f.record, sound, 4, 100*time.Millisecond, func() request { return report })
	orders := startCrowd(f.record, sound, 8, 50*time.Millisecond, func() request { return order })
	time.Sleep(settleTime)
	f.record.note("clients at two machines of dispatch send the request that crashes instances, again and again")
	var fatal []*crowd
	for _, m := range sick {
		fatal = append(fatal, startCrowd(f.record, m, 1, fatalPause, func() request { return report }))
		time.Sleep(fatalPause / 2) // one try follows the other
	}
	time.Sleep(fatalTime)
	var tries []attempt
	for _, c := range fatal {
		tries = append(tries, c.end()...)
	}
	return judgePoison(f, tries, reports.end(), orders.end()), nil
}

// judgePoison applies the rule BUDGET to a request that crashes the instances that run it.
func judgePoison(f *fleet, tries, reports, orders []attempt) verdict {
	crashes := make(map[string]int) // of instances, by the attempt
	var crashedAt []time.Time
	for _, r := range f.ledger.all() {
		if r.caller == "dispatch" && r.path == "/report/2f" {
			crashes[r.id]++
			if !r.completed {
				crashedAt = append(crashedAt, r.at)
			}
		}
	}
	slices.SortFunc(crashedAt, time.Time.Compare)
	retries := 0
	for _, a := range tries {
		third := len(crashedAt) >= fatalCrashes && a.sentAt.After(crashedAt[fatalCrashes-1].Add(contact))
		if third && crashes[a.id] > 0 {
			retries++
		}
	}
	f.record.note("the fatal request: %s; it crashed instances %d times", tally(tries), len(crashedAt))
	f.record.note("the same path and body from the sound caller: %s", tally(reports))
	f.record.note("orders of the sound caller, which must not run twice: %s", tally(orders))
	f.record.note("retries that reached instances later than %v after the third crash: %d; %d are allowed", contact, retries, retriesBound)
	if retries > retriesBound {
		return broken
	}
	return held
}

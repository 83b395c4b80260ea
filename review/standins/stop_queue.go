package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// bookingsAlone is the time after which bookings take all slots.
	bookingsAlone = 2 * time.Second
	// viewsBefore are sent in the second before the signal.
	viewsBefore = 20
)

// playStopQueue stops the node that took requests from clients while these requests wait for
// a slot of an instance elsewhere, behind more urgent ones.
func playStopQueue(f *fleet, trouble bool) (verdict, error) {
	for _, n := range f.nodes {
		n.instance.work = workByPath
	}
	front := f.nodes[0]
	before, after, bookings := newLoad(f, "before"), newLoad(f, "after"), newBookings(f)
	var booked sync.WaitGroup
	booked.Go(func() { bookings.send(f.nodes[1:], 400, bookInterval) })
	time.Sleep(bookingsAlone)
	before.send(f.nodes, viewsBefore, viewInterval)
	stoppedAt := time.Now()
	if trouble {
		front.signal(syscall.SIGTERM)
	}
	after.send(f.nodes[:1], 35, viewInterval) // the platform's second miss comes 2 s after SIGTERM at the latest
	f.record.logf("%.3f s after the signal no more is sent", time.Since(stoppedAt).Seconds())
	answers := append(before.wait(), after.wait()...)
	f.record.logf("answers by status: %v", byStatus(answers))
	if trouble && !front.awaitEnd(boundGrace) {
		f.record.logf("node %s still runs", front.vm)
	}
	booked.Wait()
	bookings.wait()
	ran := make(map[string]bool)
	for _, n := range f.nodes {
		for _, a := range n.instance.arrived() {
			ran[a.attempt] = true
		}
	}
	lost := 0
	for _, a := range answers {
		held := a.endedAt.Sub(a.sentAt)
		if a.status != 0 || ran[a.request.attempt] || held <= boundLossSlack || held >= viewTimeout-viewTimeoutMargin {
			continue // answered, or perhaps excused
		}
		lost++
		f.record.logf("%s: sent %.3f s after the signal, never passed on to an instance, cut %.3f s after the signal", a.request.attempt,
			a.sentAt.Sub(stoppedAt).Seconds(), a.endedAt.Sub(stoppedAt).Seconds())
	}
	return verdict{broken: lost > 0, text: fmt.Sprintf("%d requests were read whole, never passed on and cut without an answer", lost)}, nil
}

package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// The times of the case of machines that were cut off themselves.
const (
	// trials is how many machines are cut off, one after the other.
	trials = 8
	// removedAfter is the time from the start of the cut to the removal of the entry.
	removedAfter = 2 * time.Second
	// cutMin is the shortest cut. It ends at the machine's next attempt to reach the store, and after
	// cutTime at the latest.
	cutMin = 4200 * time.Millisecond
	// quietBefore is the time since the store's last answer to the machine when the cut begins, of at most
	// 1.2 s. The later it begins, the earlier in the cut are the machine's attempts to reach readers.
	quietBefore = time.Second
	// inTouchAfter is the time after the end of the cut from which the machine is in touch: `contact`,
	// and a margin for the time at which the end is noted.
	inTouchAfter = 3050 * time.Millisecond
	// watchedAfter is the time after the end of the cut at which the instance ends.
	watchedAfter = 4200 * time.Millisecond
)

// runLate cuts machines off, one after the other, and has the instance beside each leave meanwhile.
func runLate(r *run) (broken bool, err error) {
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
	late := 0
	done := make(map[*machine]bool)
	for range trials {
		m, err := r.awaitReader(done)
		if err != nil {
			return false, err
		}
		done[m] = true
		count, err := r.cutOne(m)
		if err != nil {
			return false, err
		}
		late += count
	}
	r.note("%d requests in all reached an instance that was gone, sent by a machine in touch", late)
	return late > 0, nil
}

// awaitReader waits for a machine that reads the store and got its last answer some time ago, and
// returns it.
func (r *run) awaitReader(done map[*machine]bool) (*machine, error) {
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, m := range r.machines {
			if !done[m] && r.store.reads(m) && r.store.sinceAnswer(m) >= quietBefore {
				return m, nil
			}
		}
	}
	return nil, errors.New("no machine reads the store")
}

// cutOne cuts one machine off while its instance leaves, and counts the requests that the machine sends
// to the instance when it is in touch again.
func (r *run) cutOne(m *machine) (late int, err error) {
	c := &client{machine: m, method: "GET", host: m.service + ".example", path: "/" + m.service + "/", deadline: 5 * time.Second}
	stop := make(chan struct{})
	go c.sendEvery(25*time.Millisecond, func() time.Duration { return 60 * time.Millisecond }, func() bool { return true }, stop)
	begun := time.Now()
	attempts, end := make(<-chan struct{}), func() {}
	if r.trouble {
		r.cutOff(m)
		if attempts, end, err = r.store.resetAll(m); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(begun.Add(removedAfter)))
	gone := m.instance.leave()
	time.Sleep(time.Until(begun.Add(cutMin)))
	awaitAttempt(attempts, begun.Add(cutTime))
	end()
	if r.trouble {
		if err := r.heal(m); err != nil {
			return 0, err
		}
	}
	healed := time.Now()
	time.Sleep(time.Until(healed.Add(watchedAfter)))
	close(stop)
	c.pending.Wait()
	m.instance.exit()
	sent := make(map[string]time.Time)
	for _, one := range c.all() {
		sent[one.id] = one.sent
		r.log("request %s sent %.3f s after the end of the cut: status %d sealed %t %s", one.id, one.sent.Sub(healed).Seconds(), one.status, one.sealed, one.problem)
	}
	for _, a := range m.instance.all() {
		at, known := sent[a.id]
		if after := a.at.Sub(gone); known && after > drainBound && at.Sub(healed) > inTouchAfter && a.status != 421 {
			late++
			r.log("broken: request %s reached %s %.3f s after the acknowledgement, sent %.3f s after the end of the cut", a.id, a.instance, after.Seconds(), at.Sub(healed).Seconds())
		}
	}
	r.note("%s: %d requests later than they may", m.name, late)
	return late, nil
}

// awaitAttempt waits for the next attempt to reach the store, or until a time.
func awaitAttempt(attempts <-chan struct{}, until time.Time) {
	select {
	case <-attempts: // an earlier one
	default:
	}
	select {
	case <-attempts:
	case <-time.After(time.Until(until)):
	}
}

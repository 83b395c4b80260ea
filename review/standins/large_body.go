package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// largeBodies requests with largeBodyBytes each are sent at once. The size is below max_body_bytes, 67108864.
const (
	largeBodies    = 2
	largeBodyBytes = 67_000_000
)

// bookingWork is the time that an ordinary booking takes.
const bookingWork = 2 * time.Second

// bookingsInFlight is the number of ordinary bookings that run meanwhile.
const bookingsInFlight = 8

var largeBodyFleet = fleetSpec{
	machines: []machineSpec{
		{zone: "zone-a", service: "front", slots: 54},
		{zone: "zone-a", service: "desk", slots: 54},
		{zone: "zone-b", service: "desk", slots: 54},
	},
	config: configuration{
		Version: "r3", Routes: []route{book("desk", "6000ms")}, Services: services("front", "desk"), Limits: usualLimits,
	},
}

// playLargeBody sends requests with large bodies, while others have ordinary bookings in
// flight at the same machine.
func playLargeBody(f *fleet, trouble bool) (verdict, error) {
	front := f.nodes[0]
	if err := warmUp(f, front, http.MethodPost, "/book/0"); err != nil {
		return verdict{}, err
	}
	for _, n := range f.nodes {
		n.instance.work = constantWork(bookingWork)
	}
	var guards []*memoryGuard
	for _, n := range f.nodes {
		g := guardMemory(n)
		defer g.stop()
		guards = append(guards, g)
	}
	var clients sync.WaitGroup
	answers := make([]*answer, bookingsInFlight)
	for k := range answers {
		c, err := newClient(f.record, fmt.Sprintf("client %d", k+1), front.clientAddress())
		if err != nil {
			return verdict{}, err
		}
		clients.Go(func() {
			defer c.close()
			answers[k] = c.do(&request{attempt: fmt.Sprintf("booking-%d", k+1), method: http.MethodPost, path: "/book/1", deadline: 6 * time.Second, body: []byte("a booking")})
		})
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := sendLargeBodies(f, front, &clients); err != nil {
			return verdict{}, err
		}
	}
	clients.Wait()
	lost := 0
	for _, a := range answers {
		if a.status == 0 {
			lost++
		}
	}
	killed := 0
	for _, g := range guards {
		f.record.logf("node %s: at most %d MB resident", g.node.vm, g.peakMB())
		if g.killed.Load() {
			killed++
		}
	}
	return verdict{broken: lost > 3, text: fmt.Sprintf("%d of %d bookings lost, %d nodes killed for their memory", lost, len(answers), killed)}, nil
}

// sendLargeBodies starts clients that send one request with a large body each.
func sendLargeBodies(f *fleet, n *node, clients *sync.WaitGroup) error {
	body := bytes.Repeat([]byte("x"), largeBodyBytes)
	for k := range largeBodies {
		c, err := newClient(f.record, fmt.Sprintf("client %d with a large body", k+1), n.clientAddress())
		if err != nil {
			return err
		}
		clients.Go(func() {
			defer c.close()
			c.do(&request{attempt: fmt.Sprintf("large-%d", k+1), method: http.MethodPost, path: "/book/2", deadline: 6 * time.Second, body: body})
		})
	}
	return nil
}

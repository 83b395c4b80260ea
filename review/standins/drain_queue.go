package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainMargin is allowed beyond the bound, for the clocks and the scheduling of this test.
	drainMargin = 100 * time.Millisecond
	// leavingServes is how long the leaving instance serves: the drain and a little longer.
	leavingServes = boundDrain + 2*time.Second
	// surgeViews come at the usual rate, which is more than the instances can serve.
	surgeViews = 120
	// leavingAfter is the time from the first of them until an instance leaves.
	leavingAfter = 2500 * time.Millisecond
)

// playDrainQueue has an instance leave while calls wait for its slots.
func playDrainQueue(f *fleet, trouble bool) (verdict, error) {
	if err := warmUp(f, f.nodes[0], http.MethodGet, viewPaths[0]); err != nil {
		return verdict{}, err
	}
	for _, n := range f.nodes {
		n.instance.work = constantWork(longViewWork)
	}
	views := newLoad(f, "view")
	var sent sync.WaitGroup
	sent.Go(func() { views.send(f.nodes, surgeViews, viewInterval) })
	time.Sleep(leavingAfter)
	leaving := f.nodes[1]
	var acknowledged time.Time
	if trouble {
		acknowledged = leaving.publish("draining")
		time.Sleep(leavingServes)
		f.record.logf("instance %s exits", leaving.instance.id)
		leaving.instance.exit()
		f.store.remove("servers/" + leaving.instance.id)
	}
	sent.Wait()
	answers := views.wait()
	f.record.logf("answers by status: %v", byStatus(answers))
	if !trouble {
		return verdict{text: "no instance left"}, nil
	}
	late, lost := lateArrivals(f, leaving, acknowledged)
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests reached the leaving instance later than %v after the acknowledgement; %d of them were broken off when it exited", late, boundDrain, lost)}, nil
}

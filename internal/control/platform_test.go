package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/platform"
	"github.com/galenacart/galenacart/internal/vmlist"
	"github.com/galenacart/galenacart/internal/wait"
)

// fakePlatform is the platform's key service, with faults that tests can set.
type fakePlatform struct {
	mu       sync.Mutex
	values   map[string]platform.Value
	revision uint64
	down     bool
	changed  chan struct{}
	reads    []time.Duration // times of the reads since the start
	started  time.Time
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{values: map[string]platform.Value{}, changed: make(chan struct{}), started: time.Now()}
}

// put publishes a value under a new revision and returns the revision.
func (p *fakePlatform) put(key string, data []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.values[key] = platform.Value{Data: data, Revision: p.revision}
	p.notifyChange()
	return p.revision
}

// forceState sets any state, as a platform that has lost its newest one.
func (p *fakePlatform) forceState(key string, v platform.Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = v
	p.notifyChange()
}

func (p *fakePlatform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyChange()
}

func (p *fakePlatform) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads = append(p.reads, time.Since(p.started))
}

func (p *fakePlatform) readCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.reads)
}

// busiestSecond returns the most reads in any second, counted from the read with
// index first on.
func (p *fakePlatform) busiestSecond(first int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, from := 0, first
	for to := first; to < len(p.reads); to++ {
		for p.reads[to]-p.reads[from] >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/keys/")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	go wait.Every(ctx, time.Second, p.countRead) // a waiting watch counts as one read per second
	p.countRead()
	for {
		p.mu.Lock()
		value, found := p.values[key]
		down, changed := p.down, p.changed
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case !found:
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(platform.HeaderKeyRevision, strconv.FormatUint(value.Revision, 10))
		if value.Revision > after {
			_, _ = w.Write(value.Data)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() == nil {
				w.WriteHeader(http.StatusNotModified)
			}
			return
		}
	}
}

// catalogueWith returns a valid catalogue whose content depends on n.
func catalogueWith(n int) []byte {
	c := catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "booking", Owner: "dispatch"}},
		Services: []catalogue.Service{{
			Name: "stock", Owner: "stock", Class: "booking",
			Limits: catalogue.ServiceLimits{Slots: 10, Connections: 100, Queue: 10},
		}},
		Routes: []catalogue.Route{{
			Name: "book", Owner: "dispatch", Class: "booking", Service: "stock", Method: "POST", Path: "/book",
			Limits: catalogue.RouteLimits{TimeoutMs: 1000 + n},
		}},
		Retry:       catalogue.Retry{BudgetPerRequest: 3, PercentOfSuccesses: 10},
		Idempotency: catalogue.Idempotency{TokenLifetimeMs: 10_000, RecordsMax: 100, AnswerBytesMax: 100},
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// absentVMs returns VMs of another zone on which no node runs.
func absentVMs(n int) []vmlist.VM {
	var list []vmlist.VM
	for i := range n {
		name := fmt.Sprintf("absent-%d", i)
		list = append(list, vmlist.VM{
			Name: name, AvailabilityZone: "absent", Region: "vestland", Service: "stock",
			PeerAddress: name + ":1", CallerAddress: name + ":2", State: vmlist.Live,
		})
	}
	return list
}

// listOf returns a VM list of live VMs.
func listOf(vms []vmlist.VM) []byte {
	data, err := json.Marshal(vmlist.List{VMs: vms})
	if err != nil {
		panic(err)
	}
	return data
}

package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/platform"
)

// history drives a fleet through random faults and remembers what was published.
type history struct {
	*fleet
	t         *rapid.T
	published []platform.Value
	logs      []*lockedBuffer // of all processes, also those that ended
}

func (h *history) publish() {
	n := len(h.published)
	data := catalogueWith(n)
	revision := h.platform.put(platform.KeyCatalogue, data)
	h.published = append(h.published, platform.Value{Data: data, Revision: revision})
}

func (h *history) zone() string {
	return fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(h.t, "zone"))
}

// replace ends the node of a VM, gracefully or not, and starts another.
func (h *history) replace() {
	vm := rapid.SampledFrom(h.vms).Draw(h.t, "vm")
	if rapid.Bool().Draw(h.t, "planned") {
		h.stop(vm.Name)
	} else {
		h.crash(vm.Name)
	}
	h.begin(vm.Name)
}

func (h *history) begin(name string) {
	for _, vm := range h.vms {
		if vm.Name == name {
			h.logs = append(h.logs, h.start(vm).events)
		}
	}
}

func (h *history) step() {
	actions := map[string]func(){
		"publish": h.publish,
		"back": func() {
			h.platform.force(platform.KeyCatalogue, rapid.SampledFrom(h.published).Draw(h.t, "state"))
		},
		"down":    func() { h.platform.setDown(true) },
		"up":      func() { h.platform.setDown(false) },
		"cut":     func() { h.network.setCut(h.zone(), true) },
		"heal":    func() { h.network.setCut(h.zone(), false) },
		"replace": h.replace,
		"pause":   func() { h.nodes[rapid.SampledFrom(h.vms).Draw(h.t, "vm").Name].jump(30 * time.Second) },
	}
	names := []string{"publish", "back", "down", "up", "cut", "heal", "replace", "pause"}
	actions[rapid.SampledFrom(names).Draw(h.t, "action")]()
	time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 50, 700, 6000}).Draw(h.t, "ms")) * time.Millisecond)
}

// requireRising fails if a process ever took a smaller revision into force.
func requireRising(t require.TestingT, log string) {
	last := uint64(0)
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		var e struct {
			Event    event.Number `json:"event"`
			Revision uint64       `json:"revision"`
		}
		require.NoError(t, json.Unmarshal([]byte(line), &e), line)
		if e.Event == event.CatalogueInForce {
			require.Greater(t, e.Revision, last, line)
			last = e.Revision
		}
	}
}

// The revisions of a process only rise, and after the heal all nodes have the
// newest that any of them had.
func TestRevisionsNeverFallAndConverge(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		inFakeTime(outer, func() {
			h := &history{fleet: newFleet(3, 2), t: t}
			defer h.close()
			h.published = []platform.Value{h.platform.values[platform.KeyCatalogue]}
			for _, vm := range h.vms {
				h.begin(vm.Name)
			}
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				h.step()
			}
			for z := range 3 {
				h.network.setCut(fmt.Sprintf("zone-%d", z), false)
			}
			h.platform.setDown(false)
			// All zones were cut for so long that only the gate's bounds hold.
			time.Sleep(20 * time.Second)
			newest := h.platform.values[platform.KeyCatalogue].Revision
			for _, n := range h.nodes {
				newest = max(newest, n.holder.Load().Revision)
			}
			require.True(t, h.inForce(newest, ""), "newest is %d", newest)
			// With all whole again a change is everywhere in two seconds.
			if last := h.published[len(h.published)-1]; newest == last.Revision {
				h.publish()
				last = h.published[len(h.published)-1]
				require.True(t, waitUntil(2*time.Second, func() bool { return h.inForce(last.Revision, "") }))
			}
			for _, log := range h.logs {
				requireRising(t, log.String())
			}
		})
	})
}

// inFakeTime runs a step of a rapid check in a bubble of fake time. A failure of
// the check, which is a panic, passes through.
func inFakeTime(outer *testing.T, f func()) {
	var failure any
	synctest.Test(outer, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

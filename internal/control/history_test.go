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

// history applies random faults to a fleet and records the published catalogues.
type history struct {
	*fleet
	t         *rapid.T
	published []platform.Value
	logs      []*lockedBuffer // of all processes, including those that have ended
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

// replace ends the node of a VM, gracefully or not, and starts a new one.
func (h *history) replace() {
	vm := rapid.SampledFrom(h.vms).Draw(h.t, "vm")
	if rapid.Bool().Draw(h.t, "planned") {
		h.stop(vm.Name)
	} else {
		h.crash(vm.Name)
	}
	h.startNode(vm.Name)
}

func (h *history) startNode(name string) {
	for _, vm := range h.vms {
		if vm.Name == name {
			h.logs = append(h.logs, h.start(vm).events)
		}
	}
}

func (h *history) step() {
	actions := map[string]func(){
		"publish": h.publish,
		"revert": func() {
			h.platform.forceState(platform.KeyCatalogue, rapid.SampledFrom(h.published).Draw(h.t, "state"))
		},
		"down":      func() { h.platform.setDown(true) },
		"up":        func() { h.platform.setDown(false) },
		"partition": func() { h.network.setPartitioned(h.zone(), true) },
		"heal":      func() { h.network.setPartitioned(h.zone(), false) },
		"replace":   h.replace,
		"pause":     func() { h.nodes[rapid.SampledFrom(h.vms).Draw(h.t, "vm").Name].pause(30 * time.Second) },
	}
	names := []string{"publish", "revert", "down", "up", "partition", "heal", "replace", "pause"}
	actions[rapid.SampledFrom(names).Draw(h.t, "action")]()
	time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 50, 700, 6000}).Draw(h.t, "ms")) * time.Millisecond)
}

// requireIncreasingRevisions checks that the revisions in force of a process only
// increase.
func requireIncreasingRevisions(t require.TestingT, log string) {
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

// Guards against a node that reverts to an older catalogue, and against nodes that
// keep different revisions after partitions, outages, restarts and pauses.
func TestRevisionsIncreaseAndConverge(t *testing.T) {
	outer := t
	rapid.Check(t, func(t *rapid.T) {
		runInFakeTime(outer, func() {
			h := &history{fleet: newFleet(3, 2), t: t}
			defer h.close()
			h.published = []platform.Value{h.platform.values[platform.KeyCatalogue]}
			for _, vm := range h.vms {
				h.startNode(vm.Name)
			}
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				h.step()
			}
			for z := range 3 {
				h.network.setPartitioned(fmt.Sprintf("zone-%d", z), false)
			}
			h.platform.setDown(false)
			// All zones may have been partitioned, so that starting nodes wait for the
			// timeouts of the gate.
			time.Sleep(20 * time.Second)
			newest := h.platform.values[platform.KeyCatalogue].Revision
			for _, n := range h.nodes {
				newest = max(newest, n.holder.Load().Revision)
			}
			require.True(t, h.inForce(newest, ""), "newest revision is %d", newest)
			// Without faults a change reaches all nodes within two seconds.
			if last := h.published[len(h.published)-1]; newest == last.Revision {
				h.publish()
				last = h.published[len(h.published)-1]
				require.True(t, waitUntil(2*time.Second, func() bool { return h.inForce(last.Revision, "") }))
			}
			for _, log := range h.logs {
				requireIncreasingRevisions(t, log.String())
			}
		})
	})
}

// runInFakeTime runs one rapid check in a synctest bubble. It propagates a failure
// of the check, which is a panic.
func runInFakeTime(outer *testing.T, f func()) {
	var failure any
	synctest.Test(outer, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

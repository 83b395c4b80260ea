package updatefeed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/discovery"
)

// TestStartingNodeReadsOnlyAsReader starts a node of each kind in a zone that is served.
func TestStartingNodeReadsOnlyAsReader(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := publishNodes(t, p, "e1", "e2", "e3", "e4", "e5", "e6")
	reader := nodes["e1"].feed.assignmentAfterList(t)
	last := ""
	for id, n := range nodes {
		if reader[id] {
			n.start()
		} else {
			last = id
		}
	}
	for id := range reader {
		require.Eventually(t, func() bool { return nodes[id].view.Load().Revision == 1 }, 5*time.Second, time.Millisecond)
	}
	nodes[last].start()
	require.Eventually(t, func() bool { return nodes[last].view.Load().Revision == 1 && nodes[last].hasVM("e1") }, time.Second, time.Millisecond)
	p.configure(2)
	require.Eventually(t, func() bool { return nodes[last].view.Load().Revision == 2 }, 2*time.Second, time.Millisecond)
	require.Zero(t, nodes[last].source.runs.Load(), "reads of the platform")
	require.EqualValues(t, 1, nodes[last].source.lists.Load(), "outdated lists")
}

// assignmentAfterList returns the IDs of the readers in the platform's list.
func (f *Feed) assignmentAfterList(t *testing.T) map[string]bool {
	t.Helper()
	s := &startup{feed: f}
	require.True(t, s.list(t.Context()))
	ids := make(map[string]bool)
	for _, n := range s.ranked[:2] {
		ids[n.vm] = true
	}
	return ids
}

// TestStartingNodeServesWithoutReaders starts a node whose readers are gone, whose platform
// does not answer, or that is not listed yet.
func TestStartingNodeServesWithoutReaders(t *testing.T) {
	tests := []struct {
		desc  string
		alter func(p *platform, n *node)
	}{
		{"all readers are gone", func(*platform, *node) {}},
		{"the platform answers later", func(_ *platform, n *node) {
			n.source.failing.Store(true)
			time.AfterFunc(500*time.Millisecond, func() { n.source.failing.Store(false) })
		}},
		{"it is not listed", func(p *platform, n *node) {
			p.change(func(p *platform) { delete(p.entries, n.id) })
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := &platform{version: 1, entries: make(map[string]registry.Entry)}
			nodes := publishNodes(t, p, "e1", "e2", "e3", "e4", "e5", "e6")
			for id, n := range nodes {
				if nodes["e1"].feed.assignmentAfterList(t)[id] {
					continue
				}
				test.alter(p, n)
				n.start()
				require.Eventually(t, func() bool { return n.view.Load().Revision == 1 }, 4*time.Second, time.Millisecond)
				return
			}
		})
	}
}

// TestStartingNodeWithStateOfAnotherNodeFollowsChanges starts a node that no list names, and
// whose zone has no node that serves, with a state from another node.
func TestStartingNodeWithStateOfAnotherNodeFollowsChanges(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	n := publishNodes(t, p, "e1")["e1"]
	p.change(func(p *platform) { delete(p.entries, n.id) })
	n.feed.config.Directory.ApplyConfiguration(&discovery.Configuration{Version: 1, Catalogue: &catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "0"}},
	}})
	n.start()
	p.configure(2)
	require.Eventually(t, func() bool { return n.view.Load().Revision == 2 }, 2*time.Second, time.Millisecond)
}

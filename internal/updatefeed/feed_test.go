package updatefeed

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/decision/readers"
	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/decision/storeera"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/testaddress"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// platform is the source that all nodes of a test read. Each change is one revision.
type platform struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	version  uint64
	entries  map[string]registry.Entry
}

func (p *platform) change(f func(p *platform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	f(p)
}

func (p *platform) put(e registry.Entry) {
	p.change(func(p *platform) { p.entries[e.ID] = e })
}

func (p *platform) configure(version uint64) {
	p.change(func(p *platform) { p.version = version })
}

// source reads the platform for one node.
type source struct {
	platform *platform
	running  atomic.Bool
	runs     atomic.Int32 // calls of Run
	lists    atomic.Int32
	failing  atomic.Bool
	stalled  atomic.Bool // reads nothing without an error
}

func (s *source) Run(ctx context.Context, b *discovery.Directory) {
	s.runs.Add(1)
	s.running.Store(true)
	defer s.running.Store(false)
	for ctx.Err() == nil {
		switch {
		case s.failing.Load():
			b.SourceFailed(context.DeadlineExceeded)
		case !s.stalled.Load():
			s.read(b)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ListEndpoints counts as a read only in lists.
func (s *source) ListEndpoints(_ context.Context, _ *discovery.Directory) ([]registry.Entry, error) {
	s.lists.Add(1)
	if s.failing.Load() {
		return nil, context.DeadlineExceeded
	}
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	var all []registry.Entry
	for _, e := range s.platform.entries {
		all = append(all, e)
	}
	return all, nil
}

func (s *source) read(b *discovery.Directory) {
	s.platform.mu.Lock()
	defer s.platform.mu.Unlock()
	if b.ObserveEra(s.platform.era) == storeera.Outdated {
		return
	}
	b.SourceRecovered()
	b.ApplyConfiguration(&discovery.Configuration{Version: s.platform.version, Catalogue: &catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "0"}},
	}})
	var all []registry.Entry
	for _, e := range s.platform.entries {
		all = append(all, e)
	}
	b.ReplaceEndpoints(all)
	b.AdvanceRevision(s.platform.revision, b.Now())
}

// node is one node of a test, with its own peer address.
type node struct {
	id        string
	source    *source
	view      *fleetview.Holder
	feed      *Feed
	server    *httptest.Server
	silent    atomic.Bool // accepts subscribers and sends them nothing
	following atomic.Bool // according to its events
	cancel    context.CancelFunc
	ended     chan struct{}
}

// startNodes starts nodes, in the zone that is the first letter of their ID, that are published on one platform. A directory derives a node's
// peer address from its endpoint's IP address and the common peer port, so that each node
// needs its own IP address.
func startNodes(t *testing.T, p *platform, ids ...string) map[string]*node {
	t.Helper()
	nodes := publishNodes(t, p, ids...)
	for _, n := range nodes {
		n.start()
	}
	return nodes
}

// publishNodes publishes nodes that have not started yet.
func publishNodes(t *testing.T, p *platform, ids ...string) map[string]*node {
	t.Helper()
	nodes := make(map[string]*node)
	addresses := testaddress.NewSharedPort(len(ids))
	for i, id := range ids {
		n := &node{id: id, source: &source{platform: p}, view: &fleetview.Holder{}, ended: make(chan struct{})}
		n.server = serveAt(t, addresses[i], n)
		address := addresses[i].Addr().String() + ":80"
		p.put(registry.Entry{ID: id, Service: "stock", Address: address, AvailabilityZone: id[:1], Slots: 5, StartedMs: 1, Sequence: 1})
		log := event.NewLog(n, "node", id, zerolog.InfoLevel)
		start := time.Now()
		directory := discovery.NewDirectory(n.view, log, func() time.Duration { return time.Since(start) }, addresses[i].Port())
		n.feed = New(Config{Directory: directory, Source: n.source, View: n.view, AvailabilityZone: id[:1], EndpointAddress: address, Log: log, Times: readers.NewUpdateTimes(updateBound)})
		nodes[id] = n
	}
	t.Cleanup(func() {
		for _, n := range nodes {
			if n.cancel != nil {
				n.cancel()
				<-n.ended
			}
			n.server.CloseClientConnections()
			n.server.Close()
		}
	})
	return nodes
}

func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.ended)
		n.feed.Run(ctx)
	}()
}

// Write receives the node's events.
func (n *node) Write(line []byte) (int, error) {
	switch {
	case bytes.Contains(line, []byte(`"reader_heard"`)):
		n.following.Store(true)
	case bytes.Contains(line, []byte(`"reader_lost"`)):
		n.following.Store(false)
	}
	return len(line), nil
}

func serveAt(t *testing.T, address netip.AddrPort, h http.Handler) *httptest.Server {
	t.Helper()
	listener, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	s := httptest.NewUnstartedServer(h)
	require.NoError(t, s.Listener.Close())
	s.Listener = listener
	s.Start()
	return s
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n.silent.Load() {
		socket, err := websocket.Accept(w, r, nil)
		if err == nil {
			_, _, _ = socket.Read(r.Context()) // the subscribe request
			_, _, _ = socket.Read(r.Context()) // until the subscriber disconnects
		}
		return
	}
	n.feed.ServeHTTP(w, r)
}

// awaitRoles waits until two nodes read the platform and all others follow a reader, and
// returns both groups.
func awaitRoles(t *testing.T, nodes map[string]*node) (reading, listening []*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		reading, listening = nil, nil
		for _, n := range nodes {
			switch {
			case n.source.running.Load():
				reading = append(reading, n)
			case n.following.Load():
				listening = append(listening, n)
			}
		}
		return len(reading) == 2 && len(listening) == len(nodes)-2
	}, 10*time.Second, 10*time.Millisecond)
	return reading, listening
}

func (n *node) hasVM(id string) bool {
	return n.view.Load().ByVM[id] != nil
}

func TestTwoNodesPerZoneReadThePlatform(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3", "e4", "e5")
	_, listening := awaitRoles(t, nodes)
	require.Len(t, listening, 3)

	p.put(registry.Entry{ID: "new", Service: "stock", Address: "10.0.0.9:80", AvailabilityZone: "b", Slots: 5, StartedMs: 1, Sequence: 1})
	p.configure(2)
	for _, n := range listening {
		require.Eventually(t, func() bool { return n.hasVM("new") && n.view.Load().Revision == 2 }, time.Second, time.Millisecond)
	}
	p.put(registry.Entry{ID: "new", Service: "stock", Address: "10.0.0.9:80", AvailabilityZone: "b", Leaving: true, Slots: 5, StartedMs: 1, Sequence: 2})
	for _, n := range listening {
		require.Eventually(t, func() bool { return n.view.Load().ByVM["new"].Leaving }, time.Second, time.Millisecond)
	}
	p.change(func(p *platform) { delete(p.entries, "new") })
	for _, n := range listening {
		require.Eventually(t, func() bool { return !n.hasVM("new") }, time.Second, time.Millisecond)
		require.Eventually(t, func() bool { return !n.source.running.Load() }, 10*time.Second, time.Millisecond)
	}
}

// updateBound is the time within which a change has to be in force, also if a reader fails.
const updateBound = 2 * time.Second

// The platform's response time is part of the bound, and so is the age of the state that a
// reader or the node itself had before.
func TestTimeoutsKeepTheUpdateBound(t *testing.T) {
	times := readers.NewUpdateTimes(updateBound)
	healthy := times.ProbeInterval + times.ReadTime
	require.LessOrEqual(t, times.AgeMax+times.ReadTime, updateBound, "a reader becomes silent or no longer hears the platform")
	for _, age := range []time.Duration{0, times.BatchPause, healthy - times.ReadTime} {
		require.LessOrEqual(t, age+times.SnapshotWait(age, snapshotTimeout)+times.ReadTime, updateBound, "a reader accepts a subscriber and sends nothing")
	}
	require.LessOrEqual(t, healthy, times.AgeMax, "a reader without news is not abandoned")
	require.Less(t, 2*heartbeatInterval, silenceMax, "one late heartbeat does not count as silence")
}

func TestSubscriberOfReaderThatLostThePlatformFollowsChanges(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3", "e4", "e5")
	reading, listening := awaitRoles(t, nodes)
	for _, n := range reading {
		n.source.stalled.Store(true) // its connection to the platform is silent, those to subscribers work
	}
	p.configure(2)
	for _, n := range listening {
		require.Eventually(t, func() bool { return n.view.Load().Revision == 2 }, updateBound, time.Millisecond)
	}
}

func TestReaderThatFailsIsReplaced(t *testing.T) {
	tests := []struct {
		desc string
		fail func(n *node)
	}{
		{"its process ends", func(n *node) {
			n.cancel()
			n.server.CloseClientConnections()
		}},
		{"it can't read the platform", func(n *node) { n.source.failing.Store(true) }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := &platform{version: 1, entries: make(map[string]registry.Entry)}
			nodes := startNodes(t, p, "e1", "e2", "e3", "e4")
			reading, listening := awaitRoles(t, nodes)
			for _, n := range reading {
				test.fail(n)
			}
			p.configure(2)
			for _, n := range listening {
				require.Eventually(t, func() bool { return n.view.Load().Revision == 2 }, 10*time.Second, time.Millisecond)
			}
		})
	}
}

// TestNodesRejectedByThePlatformFollowOthers has the platform reject some nodes while it serves
// the others, which is what a node can't find out from its own zone.
func TestNodesRejectedByThePlatformFollowOthers(t *testing.T) {
	tests := []struct {
		desc     string
		rejected func(n *node, isReader bool) bool
	}{
		{"the readers of a zone", func(n *node, isReader bool) bool { return isReader && n.id[:1] == "e" }},
		{"all nodes of a zone", func(n *node, _ bool) bool { return n.id[:1] == "e" }},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			p := &platform{version: 1, entries: make(map[string]registry.Entry)}
			nodes := startNodes(t, p, "e1", "e2", "e3", "e4", "e5", "f1", "f2", "f3")
			require.Eventually(t, func() bool {
				for _, n := range nodes {
					if n.source.running.Load() == n.following.Load() || len(n.view.Load().ByVM) < len(nodes) {
						return false
					}
				}
				return true
			}, 20*time.Second, 10*time.Millisecond)
			for _, n := range nodes {
				n.source.failing.Store(test.rejected(n, n.source.running.Load()))
			}
			require.Eventually(t, func() bool {
				for _, n := range nodes {
					if n.source.failing.Load() && !n.following.Load() {
						return false
					}
				}
				return true
			}, 10*time.Second, time.Millisecond, "rejected nodes follow others")
			for version := uint64(2); version < 6; version++ {
				p.configure(version)
				for _, n := range nodes {
					require.Eventually(t, func() bool { return n.view.Load().Revision == version }, 2*updateBound, time.Millisecond, n.id)
				}
				time.Sleep(updateBound / 2)
			}
		})
	}
}

func TestNodeKeepsReadingWhileItsReaderSendsNothing(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3")
	for _, n := range nodes {
		n.silent.Store(true)
	}
	for version := uint64(2); version < 12; version++ {
		p.configure(version)
		for _, n := range nodes {
			require.Eventually(t, func() bool { return n.view.Load().Revision == version }, 10*time.Second, time.Millisecond)
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// TestAllNodesFollowARestore restores the platform twice from an older copy, after which it
// assigns the same revisions again. A reader that stalls meanwhile, with a higher revision
// than all others, must not overwrite the state of another node.
func TestAllNodesFollowARestore(t *testing.T) {
	p := &platform{era: 1, version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3", "e4")
	p.change(func(p *platform) { p.revision += 100 })
	reading, _ := awaitRoles(t, nodes)
	reading[0].source.stalled.Store(true)
	for range 2 {
		p.change(func(p *platform) {
			p.era++
			p.revision -= 50
			p.version++
		})
	}
	p.put(registry.Entry{ID: "new", Service: "stock", Address: "10.0.0.9:80", AvailabilityZone: "b", Slots: 5, StartedMs: 1, Sequence: 1})
	upToDate := func(n *node) bool { return n.hasVM("new") && n.view.Load().Revision == 3 }
	require.Eventually(t, func() bool { return upToDate(reading[1]) }, time.Second, time.Millisecond)
	reading[0].source.stalled.Store(false)
	for _, n := range nodes {
		require.Eventually(t, func() bool { return upToDate(n) && n.feed.config.Directory.Position().Era == 3 }, 10*time.Second, time.Millisecond)
	}
}

// A reader whose platform reads stall has an older state than a node that read elsewhere.
func TestReaderThatIsBehindIsRejected(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3")
	for _, n := range nodes {
		require.Eventually(t, func() bool { return n.view.Load().Revision == 1 }, 5*time.Second, time.Millisecond)
	}
	for _, n := range nodes {
		n.feed.config.Directory.ApplyUpdate(&discovery.Update{At: storeera.Position{Revision: 3}}) // all are up to date
		n.source.stalled.Store(true)
	}
	reader := nodes["e1"]
	reader.source.stalled.Store(false)
	p.configure(2)
	require.Eventually(t, func() bool { return reader.view.Load().Revision == 2 }, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return reader.view.Load().Revision != 2 }, 4*time.Second, 5*time.Millisecond)
}

func TestNodeThatDoesNotReadRejectsSubscribers(t *testing.T) {
	p := &platform{version: 1, entries: make(map[string]registry.Entry)}
	nodes := startNodes(t, p, "e1", "e2", "e3")
	_, listening := awaitRoles(t, nodes)
	response, err := http.Get(listening[0].server.URL + Path) //nolint:noctx // a test
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, strings.Contains(string(body), "does not read"))
}

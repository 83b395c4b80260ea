package traffic

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
)

// fleet is a set of nodes in this process whose endpoints are handler functions.
type fleet struct {
	t     *testing.T
	index *catalogue.Index
	nodes map[string]*testNode
}

// testNode is one node of a fleet.
type testNode struct {
	name         string
	service      string
	zone         string
	traffic      *Traffic
	holder       *fleetview.Holder
	reports      *fleetview.Reports
	caller       *httptest.Server
	peer         *httptest.Server
	outbound     *httptest.Server
	endpoint     *httptest.Server
	address      string // the peer address in the view
	runs         atomic.Int64
	stalled      atomic.Bool  // the endpoint answers no probes
	silenceCount atomic.Int64 // incrementing it makes all open connections to the endpoint silent
	draining     atomic.Bool  // the endpoint reports that it is draining
}

// testCatalogue has a chain of three services. Only the last two have a
// non-idempotent route.
func testCatalogue() *catalogue.Catalogue {
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 100, Queue: 20}
	route := func(name, service, class, method, path string, idempotent bool) catalogue.Route {
		return catalogue.Route{
			Name: name, Owner: "team", Class: class, Service: service, Method: method, Path: path,
			Idempotent: idempotent, Limits: catalogue.RouteLimits{TimeoutMs: 3000, BodyBytes: 16 << 20},
		}
	}
	return &catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "booking", Owner: "team"}, {Name: "lookup", Owner: "team"}},
		Services: []catalogue.Service{
			{Name: "front", Owner: "team", Class: "lookup", Limits: limits, Callees: []string{"middle"}},
			{Name: "middle", Owner: "team", Class: "lookup", Limits: limits, Callees: []string{"deep"}},
			{Name: "deep", Owner: "team", Class: "lookup", Limits: limits, RefusalStatuses: []int{503}},
		},
		Routes: []catalogue.Route{
			route("front-look", "front", "lookup", "GET", "/front", true),
			route("middle-look", "middle", "lookup", "GET", "/middle", true),
			route("deep-look", "deep", "lookup", "GET", "/deep", true),
			route("deep-head", "deep", "lookup", "HEAD", "/deep", true),
			route("deep-book", "deep", "booking", "POST", "/deep", false),
			route("middle-book", "middle", "booking", "POST", "/middle", false),
		},
		Retry:       catalogue.Retry{BudgetPerRequest: 3, PercentOfSuccesses: 10},
		Idempotency: catalogue.Idempotency{TokenLifetimeMs: 60000, RecordsMax: 100, AnswerBytesMax: 64 << 10},
	}
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return &fleet{t: t, index: catalogue.NewIndex(testCatalogue()), nodes: make(map[string]*testNode)}
}

// add starts a node. Its endpoint runs handler; start publishes the view.
func (f *fleet) add(name, service, zone string, handler http.HandlerFunc) *testNode {
	f.t.Helper()
	n := &testNode{name: name, service: service, zone: zone, holder: &fleetview.Holder{}, reports: fleetview.NewReports()}
	n.endpoint = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathHealth {
			if n.stalled.Load() {
				<-r.Context().Done()
			}
			_, _ = fmt.Fprintf(w, `{"draining":%t}`, n.draining.Load())
			return
		}
		n.runs.Add(1)
		handler(w, r)
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	started := time.Now()
	n.traffic = New(Config{
		Settings: &settings.Node{
			VM: name, AvailabilityZone: zone, Region: "region", Service: service,
			PeerAddress: listener.Addr().String(), EndpointAddress: n.endpoint.Listener.Addr().String(),
			FleetKey: "a fleet key of some length", ConnectionSilenceMs: 200,
		},
		Incarnation: 7,
		View:        n.holder,
		Reports:     n.reports,
		Log:         event.NewLog(io.Discard, "node", name, zerolog.InfoLevel),
		Metrics:     metrics.NewSet(),
		Refusals:    status.NewRefusals(),
		Now:         func() time.Duration { return time.Since(started) },
		Dial:        n.dial,
	})
	n.peer = httptest.NewUnstartedServer(n.traffic.PeerHandler())
	require.NoError(f.t, n.peer.Listener.Close())
	n.peer.Listener = listener
	n.peer.Start()
	n.address = listener.Addr().String()
	n.caller = httptest.NewServer(n.traffic.CallerHandler())
	n.outbound = httptest.NewServer(n.traffic.OutboundHandler())
	f.nodes[name] = n
	return n
}

// dial opens a connection. One to the endpoint becomes silent when silenceCount is
// incremented.
func (n *testNode) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dialTCP(ctx, network, address)
	if err != nil || address != n.endpoint.Listener.Addr().String() {
		return conn, err
	}
	return &silentConn{Conn: conn, node: n, opened: n.silenceCount.Load()}, nil
}

// silentConn is a connection that discards received data once the silenceCount of
// its node has changed.
type silentConn struct {
	net.Conn
	node   *testNode
	opened int64
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.opened == c.node.silenceCount.Load() {
			return n, err
		}
	}
}

// publish sets a view of all nodes on all nodes.
func (f *fleet) publish() {
	f.t.Helper()
	v := &fleetview.View{Index: f.index, Revision: 1, ByService: map[string][]*fleetview.Member{}, ByVM: map[string]*fleetview.Member{}}
	for _, n := range f.nodes {
		m := &fleetview.Member{
			VM: n.name, AvailabilityZone: n.zone, Region: "region", Service: n.service,
			PeerAddress: n.address, Incarnation: 7,
		}
		v.ByService[n.service] = append(v.ByService[n.service], m)
		v.ByVM[n.name] = m
	}
	for _, n := range f.nodes {
		n.holder.Store(v)
		n.traffic.apply(v)
	}
}

// start publishes the view and runs all nodes.
func (f *fleet) start() {
	f.t.Helper()
	f.publish()
	ctx, cancel := context.WithCancel(f.t.Context())
	for _, n := range f.nodes {
		go n.traffic.Run(ctx)
	}
	f.t.Cleanup(func() {
		cancel()
		for _, n := range f.nodes {
			n.traffic.Close()
		}
		for _, n := range f.nodes {
			for _, s := range []*httptest.Server{n.caller, n.outbound, n.peer, n.endpoint} {
				s.CloseClientConnections()
				s.Close()
			}
		}
	})
}

// result is the response that a caller received, or an error.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (n *testNode) call(t *testing.T, method, target, key, body string) result {
	t.Helper()
	return send(t, n.caller.URL, method, target, key, body)
}

func send(t *testing.T, base, method, target, key, body string) result {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, base+target, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
	}
}

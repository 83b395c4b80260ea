package proxynode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/decision/registry"
	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/discovery"
	"github.com/galenacart/galenacart/internal/message"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/testaddress"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func testHeaders() message.Headers {
	return message.Headers{
		RequestID: "Request-Id", RemainingMs: "Remaining-Ms", ResponseSeal: "Seal",
		ExpectEndpoint: "Expect-Endpoint", NotStarted: "Not-Started", CallerService: "Caller-Service",
		RateLimit: "Rate-Limit", EndpointLeaving: "Leaving",
	}
}

// fleet is a few nodes with their endpoints on loopback addresses.
type fleet struct {
	t        *testing.T
	ports    [5]uint16 // client, peer, readiness, endpoint, status
	vms      []*vm
	version  uint64
	sources  []*source
	routes   []catalogue.Route
	client   *http.Client
	stopTime string
	output   io.Writer // of the nodes' events
}

// vm is one VM: a node and its endpoint.
type vm struct {
	node     *Node
	ip       string
	id       string
	service  string
	restarts int64 // of the endpoint under its ID, as published
	leaving  bool  // the endpoint, as published
	gone     bool  // the endpoint is no longer published
	output   *bytes.Buffer
	settings string       // path of the node's settings file
	handler  http.Handler // of the endpoint
	address  string       // of the endpoint
	mu       sync.Mutex
	endpoint *http.Server
	stopped  bool
	stop     context.CancelFunc
	done     chan error
}

// source exposes the directory of one node to the test.
type source struct {
	directory chan *discovery.Directory
}

func (s *source) Run(ctx context.Context, b *discovery.Directory) {
	s.directory <- b
	<-ctx.Done()
}

func (s *source) ListEndpoints(context.Context, *discovery.Directory) ([]registry.Entry, error) {
	return nil, errors.New("no platform in this test")
}

func newFleet(t *testing.T, routes ...catalogue.Route) *fleet {
	t.Helper()
	f := &fleet{t: t, routes: routes, client: &http.Client{Transport: &http.Transport{}}, stopTime: "1s", output: io.Discard}
	for i := range f.ports {
		address := netip.MustParseAddrPort(testaddress.New())
		f.ports[i] = address.Port()
	}
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		for _, v := range f.vms {
			f.stopVM(v)
		}
	})
	return f
}

// stopVM stops a VM's node and its endpoint.
func (f *fleet) stopVM(v *vm) {
	v.mu.Lock()
	stopped := v.stopped
	v.stopped = true
	v.mu.Unlock()
	if stopped {
		return
	}
	v.stop()
	require.NoError(f.t, <-v.done)
	v.mu.Lock()
	defer v.mu.Unlock()
	require.NoError(f.t, v.endpoint.Close())
}

// listen starts the endpoint of a VM.
func (v *vm) listen() error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.endpoint = &http.Server{Handler: v.handler}
	go func(s *http.Server) { _ = s.Serve(l) }(v.endpoint) // ends with Close
	return nil
}

// crash closes the endpoint of a VM with all its connections and starts it again after a
// time.
func (v *vm) crash(down time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.endpoint.Close() // an error doesn't matter: the connections are closed in any case
	time.AfterFunc(down, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.stopped {
			_ = v.listen() // on failure the test finds no endpoint
		}
	})
}

// address returns an address of the i-th VM.
func (f *fleet) address(i, port int) string {
	base := netip.MustParseAddrPort(testaddress.New()).Addr().As4()
	ip := net.IPv4(127, byte(128+i), base[2], base[3])
	return fmt.Sprintf("%s:%d", ip, f.ports[port])
}

// add starts a VM whose endpoint of a service is served by a handler.
func (f *fleet) add(service string, handler http.HandlerFunc) *vm {
	f.t.Helper()
	i := len(f.vms)
	v := &vm{id: fmt.Sprintf("e-%d", i), service: service, ip: f.address(i, 0), output: &bytes.Buffer{}, done: make(chan error, 1)}
	f.vms = append(f.vms, v)
	f.sources = append(f.sources, nil)
	f.startNode(i)
	v.address, v.handler = f.address(i, 3), endpointHandler(v.id, handler)
	require.NoError(f.t, v.listen())
	return v
}

// testSlots is the number of slots of each endpoint, as published.
const testSlots = 10

// testMemoryMB is the memory of each node by its settings, in MB.
const testMemoryMB = 284

// startNode starts the node of the i-th VM.
func (f *fleet) startNode(i int) {
	f.t.Helper()
	v := f.vms[i]
	file := filepath.Join(f.t.TempDir(), "node.json")
	text := fmt.Sprintf(`{"vm":"vm-%d","availabilityZone":"a","region":"r","service":%q,"clientAddress":%q,"peerAddress":%q,
		"readinessAddress":%q,"endpointAddress":%q,"statusAddress":%q,"platformAddress":"127.0.0.1:1","stopTimeout":%q,
		"retryRatio":0.5,"retryAllowance":50,"retryWindow":"10s","memoryMb":%d}`, i, v.service, f.address(i, 0), f.address(i, 1),
		f.address(i, 2), f.address(i, 3), f.address(i, 4), f.stopTime, testMemoryMB)
	require.NoError(f.t, os.WriteFile(file, []byte(text), 0o600))
	live, err := settings.NewReloadable(file)
	require.NoError(f.t, err)
	f.sources[i] = &source{directory: make(chan *discovery.Directory, 1)}
	v.settings = file
	v.node, err = Start(Config{Settings: live, Headers: testHeaders(), Source: f.sources[i], ReadinessPath: "/ready", EventOutput: f.output})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() { v.done <- v.node.Run(ctx) }()
}

// replaceNode stops the node of the i-th VM and starts another beside the same endpoint.
func (f *fleet) replaceNode(i int) {
	f.t.Helper()
	f.vms[i].stop()
	require.NoError(f.t, <-f.vms[i].done)
	f.client.CloseIdleConnections()
	f.startNode(i)
	f.publishTo(f.sources[i])
}

// endpointHandler wraps a handler with the headers that an endpoint sets.
func endpointHandler(id string, handler http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		if r.Header.Get("Expect-Endpoint") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Seal", "s")
		handler(w, r)
	})
}

// publish applies the configuration and the endpoints to all directories.
func (f *fleet) publish() {
	f.t.Helper()
	f.publishTo(f.sources...)
}

// publishTo applies the configuration and the endpoints to some directories. The others
// belong to nodes that can't read the platform.
func (f *fleet) publishTo(sources ...*source) {
	f.t.Helper()
	f.version++
	c := &catalogue.Catalogue{Routes: slices.Clone(f.routes), Classes: []catalogue.Class{{Name: "high"}, {Name: "low"}}}
	for _, s := range sources {
		b := <-s.directory
		s.directory <- b
		b.ConfirmUnchanged(b.Now()) // what follows is published now
		b.ApplyConfiguration(&discovery.Configuration{Version: f.version, Catalogue: c})
		for i, v := range f.vms {
			if v.gone {
				b.RemoveEndpoint(v.id)
				continue
			}
			b.PutEndpoint(registry.Entry{
				ID: v.id, Service: v.service, Address: f.address(i, 3), AvailabilityZone: "a",
				Slots: testSlots, StartedMs: 1 + v.restarts, Sequence: int64(f.version), Leaving: v.leaving,
			})
		}
	}
}

// wholeResponse is a response that was read completely.
type wholeResponse struct {
	StatusCode int
	Header     http.Header
}

// request returns a request for the node of a VM.
func (f *fleet) request(v *vm, method, path string, body string) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+v.ip+path, bytes.NewBufferString(body))
	require.NoError(f.t, err)
	r.Host = "door.example"
	r.Header.Set("Request-Id", "id-1")
	r.Header.Set("Remaining-Ms", "5000")
	return r
}

// send sends a request to the node of a VM.
func (f *fleet) send(v *vm, method, path string, body string) (wholeResponse, string) {
	f.t.Helper()
	response, err := f.client.Do(f.request(v, method, path, body))
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return wholeResponse{StatusCode: response.StatusCode, Header: response.Header}, string(text)
}

func route(service string, idempotent bool) catalogue.Route {
	return catalogue.Route{
		Name: "r-" + service, Class: "high", Host: "door.example", Path: "/" + service + "/", Service: service,
		Idempotent: idempotent, AttemptsMax: 3, Limits: catalogue.RouteLimits{TimeoutMs: 1000},
	}
}

// settleTime is the time to wait before checking that something has not happened.
const settleTime = 100 * time.Millisecond

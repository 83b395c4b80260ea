package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/standin/platform"
	"github.com/galenacart/galenacart/internal/testaddress"
	"github.com/galenacart/galenacart/internal/vmlist"
)

const catalogueText = `{
  "classes": [{"name": "booking", "owner": "team"}, {"name": "lookup", "owner": "team"}],
  "services": [{"name": "deep", "owner": "team", "class": "lookup", "limits": {"slots": 20, "connections": 100, "queue": 20}}],
  "routes": [
    {"name": "look", "owner": "team", "class": "lookup", "service": "deep", "method": "GET", "path": "/deep", "idempotent": true, "limits": {"timeoutMs": 5000}},
    {"name": "book", "owner": "team", "class": "booking", "service": "deep", "method": "POST", "path": "/deep", "idempotent": false, "limits": {"timeoutMs": 5000}}
  ],
  "retry": {"budgetPerRequest": 3, "percentOfSuccesses": 10},
  "idempotency": {"tokenLifetimeMs": 60000, "recordsMax": 1000, "answerBytesMax": 65536}
}`

// maxWait bounds every wait for a channel in the tests.
const maxWait = 30 * time.Second

func newSettings(t *testing.T, vm, platformAddress, endpointAddress string) *settings.Node {
	t.Helper()
	return &settings.Node{
		VM: vm, AvailabilityZone: "a", Region: "r", Service: "deep",
		CallerAddress: testaddress.New(), PeerAddress: testaddress.New(), OutboundAddress: testaddress.New(),
		StatusAddress: testaddress.New(), EndpointAddress: endpointAddress,
		PlatformAddresses: []string{platformAddress}, FleetKey: "a fleet key of some length",
		StopTimeoutMs: 10000,
	}
}

// newPlatform serves the catalogue and a list of the given VMs.
func newPlatform(t *testing.T, nodes ...*settings.Node) {
	t.Helper()
	list := &vmlist.List{}
	for _, n := range nodes {
		list.VMs = append(list.VMs, vmlist.VM{
			Name: n.VM, AvailabilityZone: n.AvailabilityZone, Region: n.Region, Service: n.Service,
			PeerAddress: n.PeerAddress, CallerAddress: n.CallerAddress, State: vmlist.Live,
		})
	}
	encoded, err := json.Marshal(list)
	require.NoError(t, err)
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		file := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(file, data, 0o600))
		return file
	}
	s := &platform.Settings{ReadsPerSecond: 2000, FirstRevision: 1}
	p := platform.New(s, event.NewLog(io.Discard, "platform", "platform", zerolog.InfoLevel))
	require.NoError(t, p.LoadKeys([]platform.KeyFile{
		{Key: "catalogue", File: write("catalogue.json", []byte(catalogueText))},
		{Key: "vms", File: write("vms.json", encoded)},
	}))
	l, err := net.Listen("tcp", nodes[0].PlatformAddresses[0])
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(p.Handler())
	require.NoError(t, server.Listener.Close())
	server.Listener = l
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
}

// runningNode is a node that runs until stop is called.
type runningNode struct {
	settings *settings.Node
	stop     context.CancelFunc
	result   chan error
}

func start(t *testing.T, s *settings.Node) *runningNode {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	n, err := Start(ctx, s, "test", io.Discard)
	require.NoError(t, err)
	r := &runningNode{settings: s, stop: cancel, result: make(chan error, 1)}
	go func() { r.result <- n.Run(ctx) }()
	return r
}

func (r *runningNode) send(t *testing.T, method string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.settings.CallerAddress+"/deep", nil)
	require.NoError(t, err)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (r *runningNode) waitUntilReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _ := r.send(t, http.MethodGet)
		return status == http.StatusOK
	}, 30*time.Second, 20*time.Millisecond)
}

// receive returns the next value and fails the test after maxWait.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(maxWait):
		require.FailNow(t, "no value within the time limit")
		panic("unreachable")
	}
}

// The planned stop begins while the endpoint runs calls that were sent through another
// node and through the stopping node itself.
func TestPlannedStopFinishesCallsInFlight(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // runs after the stand-ins have ended
	const calls = 2
	entered, release := make(chan struct{}, 2*calls), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			entered <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "done")
	}))
	platformAddress := testaddress.New()
	first := newSettings(t, "deep-1", platformAddress, endpoint.Listener.Addr().String())
	second := newSettings(t, "deep-2", platformAddress, endpoint.Listener.Addr().String())
	newPlatform(t, first, second)
	leaving, staying := start(t, first), start(t, second)
	leaving.waitUntilReady(t)
	staying.waitUntilReady(t)

	answers := make(chan string, 2*calls)
	for range calls {
		for _, n := range []*runningNode{leaving, staying} {
			go func() {
				status, body := n.send(t, http.MethodPost)
				answers <- fmt.Sprint(status, " ", body)
			}()
		}
	}
	for range 2 * calls {
		select {
		case <-entered:
		case early := <-answers:
			require.Fail(t, "call answered before the endpoint was released", early)
		case <-time.After(maxWait):
			require.FailNow(t, "call did not reach the endpoint")
		}
	}
	leaving.stop()
	time.Sleep(2 * drainGrace) // the listeners are closed after this
	close(release)
	for range 2 * calls {
		require.Equal(t, "200 done", receive(t, answers))
	}
	require.NoError(t, receive(t, leaving.result))
	status, _ := staying.send(t, http.MethodPost)
	require.Equal(t, http.StatusOK, status)
	staying.stop()
	require.NoError(t, receive(t, staying.result))
	endpoint.CloseClientConnections()
	endpoint.Close()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

func TestAddressInUseNamesTheSetting(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = taken.Close() }()
	s := newSettings(t, "deep-1", testaddress.New(), testaddress.New())
	s.PeerAddress = taken.Addr().String()
	_, err = Start(t.Context(), s, "test", io.Discard)
	require.ErrorContains(t, err, "peerAddress "+s.PeerAddress)
}

// A node that starts without the platform refuses requests as not ready and not run.
func TestPlatformUnreachableAtStart(t *testing.T) {
	s := newSettings(t, "deep-1", testaddress.New(), testaddress.New())
	n := start(t, s)
	status, body := n.send(t, http.MethodPost)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"kind":"not_ready"`)
	require.Contains(t, body, `"ran":"no"`)
	n.stop()
	require.NoError(t, receive(t, n.result))
}

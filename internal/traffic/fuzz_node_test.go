package traffic

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/fleetview"
	"github.com/galenacart/galenacart/internal/metrics"
	"github.com/galenacart/galenacart/internal/settings"
	"github.com/galenacart/galenacart/internal/status"
)

// Ports of the processes of a VM.
const (
	portPeer     = ":1"
	portCaller   = ":2"
	portOutbound = ":3"
	portEndpoint = ":4"
)

const (
	fuzzRouteTimeoutMs = 800
	fuzzTokenMs        = 1500
	fuzzSilenceMs      = 200
	fuzzRetryBudget    = 2
	fuzzAnswerMax      = 4 << 10
	// initialAge is the process age of the nodes at the start of a history.
	initialAge = time.Hour
)

// vmLocation is the position and service of one VM of a history.
type vmLocation struct {
	vm, zone, service, host string
}

// locationOf returns the location of the VM with the given number.
func locationOf(number int) vmLocation {
	return vmLocation{
		vm:      fmt.Sprintf("vm-%d", number),
		zone:    []string{"a", "b", "c"}[number/2],
		service: []string{"deep", "middle"}[number%2],
		host:    fmt.Sprintf("10.0.0.%d", number+1),
	}
}

// fuzzCatalogue has a chain of two services, each with lookups and bookings.
func fuzzCatalogue(nodes, records int) *catalogue.Catalogue {
	limits := catalogue.ServiceLimits{Slots: 20, Connections: 100, Queue: 20}
	route := func(name, service, class, method, path string) catalogue.Route {
		return catalogue.Route{
			Name: name, Owner: "team", Class: class, Service: service, Method: method, Path: path,
			Idempotent: method == http.MethodGet,
			Limits:     catalogue.RouteLimits{TimeoutMs: fuzzRouteTimeoutMs, BodyBytes: 1 << 20},
		}
	}
	c := &catalogue.Catalogue{
		Classes: []catalogue.Class{{Name: "booking", Owner: "team"}, {Name: "lookup", Owner: "team"}},
		Services: []catalogue.Service{
			{Name: "middle", Owner: "team", Class: "lookup", Limits: limits, Callees: []string{"deep"}, RefusalStatuses: []int{503}},
			{Name: "deep", Owner: "team", Class: "lookup", Limits: limits, RefusalStatuses: []int{503}},
		},
		Routes: []catalogue.Route{
			route("middle-look", "middle", "lookup", "GET", "/middle"),
			route("middle-book", "middle", "booking", "POST", "/middle"),
			route("deep-look", "deep", "lookup", "GET", "/deep"),
			route("deep-book", "deep", "booking", "POST", "/deep"),
		},
		Retry: catalogue.Retry{BudgetPerRequest: fuzzRetryBudget, PercentOfSuccesses: 10},
		Idempotency: catalogue.Idempotency{
			TokenLifetimeMs: fuzzTokenMs, RecordsMax: records, AnswerBytesMax: fuzzAnswerMax,
		},
	}
	for i := range nodes {
		c.KeyHomes = append(c.KeyHomes, locationOf(i).vm)
	}
	return c
}

// fuzzNode is one process of a node.
type fuzzNode struct {
	location vmLocation
	process  *process
	traffic  *Traffic
	holder   *fleetview.Holder
	reports  *fleetview.Reports
	servers  []*http.Server
	stop     context.CancelFunc
}

// startNode starts a process of a node. age is added to the time that its clock
// reports since the start.
func (h *history) startNode(p vmLocation, incarnation uint64, age time.Duration) *fuzzNode {
	n := &fuzzNode{
		location: p,
		process:  &process{kind: nodeProcess, vm: p.vm, zone: p.zone},
		holder:   &fleetview.Holder{},
		reports:  fleetview.NewReports(),
	}
	started := time.Now()
	n.traffic = New(Config{
		Settings: &settings.Node{
			VM: p.vm, AvailabilityZone: p.zone, Region: "region", Service: p.service,
			PeerAddress: p.host + portPeer, EndpointAddress: p.host + portEndpoint,
			FleetKey: "a fleet key of some length", ConnectionSilenceMs: fuzzSilenceMs,
		},
		Incarnation: incarnation,
		View:        n.holder,
		Reports:     n.reports,
		Log:         event.NewLog(io.Discard, "node", p.vm, zerolog.Disabled),
		Metrics:     metrics.NewSet(),
		Refusals:    status.NewRefusals(),
		Now:         func() time.Duration { return age + time.Since(started) },
		Dial:        h.network.dialer(n.process),
	})
	n.holder.Store(h.view())
	n.traffic.apply(n.holder.Load())
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.traffic.Run(ctx)
	go h.control(ctx, n)
	h.serve(n, h.network.listen(n.process, p.host+portPeer), n.traffic.PeerHandler())
	h.serve(n, h.network.listen(n.process, p.host+portCaller), n.traffic.CallerHandler())
	h.serve(n, h.network.listen(n.process, p.host+portOutbound), n.traffic.OutboundHandler())
	return n
}

func (h *history) serve(n *fuzzNode, l *memoryListener, handler http.Handler) {
	s := &http.Server{Handler: handler, ErrorLog: log.New(h.observations, "", 0)}
	n.servers = append(n.servers, s)
	go func() { _ = s.Serve(l) }()
}

// crash ends a process without a planned stop.
func (n *fuzzNode) crash(w *network) {
	n.process.dead.Store(true)
	w.closeConnsOf(n.process)
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.stop()
	n.traffic.Close()
}

// view returns the fleet view of all nodes.
func (h *history) view() *fleetview.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &fleetview.View{
		Index: h.index, Revision: 1,
		ByService: map[string][]*fleetview.Member{}, ByVM: map[string]*fleetview.Member{},
		Suspects: make(map[uint64]int, len(h.suspects)),
	}
	for i := range h.script.Nodes {
		p := locationOf(i)
		m := &fleetview.Member{VM: p.vm, AvailabilityZone: p.zone, Region: "region", Service: p.service, PeerAddress: p.host + portPeer}
		v.ByService[p.service] = append(v.ByService[p.service], m)
		v.ByVM[p.vm] = m
	}
	for fingerprint, losses := range h.suspects {
		v.Suspects[fingerprint] = losses
	}
	return v
}

// control replaces the control thread of a node. It publishes requests that may
// have crashed endpoints.
func (h *history) control(ctx context.Context, n *fuzzNode) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-n.reports.Receive():
			if r.Kind == fleetview.ReportEndpointCrashed {
				h.recordCrash(r.Fingerprint)
			}
		}
	}
}

// recordCrash counts a crash against a request and publishes it to all nodes.
func (h *history) recordCrash(fingerprint uint64) {
	h.mu.Lock()
	h.suspects[fingerprint]++
	nodes := append([]*fuzzNode(nil), h.nodes...)
	h.mu.Unlock()
	v := h.view()
	for _, n := range nodes {
		n.holder.Store(v)
	}
}

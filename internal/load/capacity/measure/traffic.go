package measure

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/capacity/planning"
	"github.com/galenacart/galenacart/internal/load/overhead"
)

const (
	// callsPerSecond is the rate of calls through one node.
	callsPerSecond = 400
	trafficWarmup  = 3 * time.Second
	trafficTime    = 10 * time.Second
	trafficSeed    = 1

	endpointHeaderTimeout = time.Second
)

// startEndpoint starts an endpoint that answers calls immediately.
func startEndpoint(address string) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the endpoint")
	}
	s := &http.Server{ReadHeaderTimeout: endpointHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}")) // the caller may have disconnected
	})}
	go func() { _ = s.Serve(l) }() // ends with Close
	return s, nil
}

// measureTraffic sends calls from one node to the endpoint of another.
func (f *fleet) measureTraffic(ctx context.Context, restTime time.Duration) (*planning.Traffic, error) {
	sender, receiver := f.processes[0], f.processes[1]
	server, err := startEndpoint(receiver.settings.EndpointAddress)
	if err != nil {
		return nil, err
	}
	defer func() { _ = server.Close() }() // the calls have ended
	atRest, err := f.measureRest(ctx, restTime)
	if err != nil {
		return nil, err
	}
	both := []*process{sender, receiver}
	before, err := takeSamples(ctx, both)
	if err != nil {
		return nil, err
	}
	result, err := overhead.Run(ctx, overhead.Config{
		Route:     &f.size.catalogue(0).Routes[1],
		Nodes:     []string{sender.settings.CallerAddress},
		Endpoints: []string{receiver.settings.EndpointAddress},
		PerSecond: callsPerSecond,
		Warmup:    trafficWarmup,
		Duration:  trafficTime,
		Seed:      trafficSeed,
	})
	if err != nil {
		return nil, err
	}
	after, err := takeSamples(ctx, both)
	if err != nil {
		return nil, err
	}
	out := &planning.Traffic{
		Nodes: f.size.Nodes, Failed: result.TwoNodes.Failed,
		CallsPerSecond:    float64(result.TwoNodes.Calls) / trafficTime.Seconds(),
		SenderMemoryBytes: float64(after[0].memory), ReceiverMemoryBytes: float64(after[1].memory),
		AddedP50Micros: result.AddedP50Micros, AddedP99Micros: result.AddedP99Micros,
	}
	calls := out.CallsPerSecond * (trafficWarmup + trafficTime).Seconds()
	perCall := func(i int) float64 {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		return ((after[i].cpu - before[i].cpu).Seconds() - atRest[both[i]].cpu*seconds) / calls
	}
	out.SenderCPU, out.ReceiverCPU = perCall(0), perCall(1)
	return out, nil
}

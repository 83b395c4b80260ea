package control

import (
	"github.com/rcrowley/go-metrics"
)

// registerMetrics registers gauges that may be read on any goroutine.
func (t *thread) registerMetrics() {
	counters := t.peers.transport.Counters()
	gauges := []struct {
		name string
		read func() uint64
	}{
		{"control.catalogue_revision", func() uint64 { return t.Holder.Load().Revision }},
		{"control.members", func() uint64 { return uint64(len(t.Holder.Load().ByVM)) }},
		{"control.reports_dropped", t.Reports.Dropped},
		{"control.messages_sent", counters.MessagesSent.Load},
		{"control.bytes_sent", counters.BytesSent.Load},
		{"control.messages_received", counters.MessagesReceived.Load},
		{"control.bytes_received", counters.BytesReceived.Load},
	}
	for _, g := range gauges {
		read := g.read
		gauge := metrics.NewFunctionalGauge(func() int64 { return int64(read()) })
		_ = t.Registry.Register(g.name, gauge) // fails only if the gauge is registered already
	}
}

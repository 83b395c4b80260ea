package planning

import (
	"bytes"
	"encoding/json"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Costs from which knownMeasurement computes its points.
const (
	cpuPerLink    = 1e-4
	cpuPerVM      = 1e-6
	cpuPerService = 1e-5
	memoryPerVM   = 2000.0
	memoryBase    = 20e6
	listCPUPerVM  = 2e-6
	changeCPU     = 0.01
	restartCPU    = 0.002
)

// knownMeasurement returns a measurement without noise.
func knownMeasurement() *Measurement {
	m := &Measurement{ListBytesPerVM: 190, RecordBytes: 100, CatalogueBytesPerService: 400}
	for _, size := range []struct {
		nodes, zones int
		links        float64
	}{{25, 3, 12}, {50, 3, 12}, {100, 3, 12}, {200, 3, 12}, {100, 1, 8}} {
		f := Fleet{
			Nodes: size.nodes, Zones: size.zones, Services: 8, ReadsPerSecond: 6 * float64(size.zones),
			StartPeakReads: size.nodes / 4, ChangeSeconds: 0.1 * math.Log2(float64(size.nodes)),
		}
		f.Idle = knownRole(f.VMs(), 8, size.links)
		f.Reader = f.Idle
		m.Fleets = append(m.Fleets, f)
	}
	for _, size := range []struct{ nodes, listed, services int }{{25, 0, 8}, {100, 0, 190}, {25, 5000, 190}} {
		e := EventCosts{Nodes: size.nodes, Listed: size.listed, Services: size.services, ZoneVMs: size.nodes / 3}
		e.Idle = knownRole(e.VMs(), float64(size.services), 12)
		e.Reader = e.Idle
		e.ListChange = Cost{CPU: listCPUPerVM * e.VMs(), Messages: 10, Bytes: 1000}
		e.CatalogueChange = Cost{CPU: changeCPU, Messages: 10, Bytes: 1000}
		e.Leave = Cost{CPU: restartCPU / 2, Messages: 14, Bytes: 1400}
		e.Join = e.Leave
		if size.listed > 0 {
			e.Join.Messages, e.Join.Bytes = 400, 5e5 // records of the large list
		}
		e.ZoneRestart = Cost{CPU: 0.01 * float64(e.ZoneVMs), Messages: 28 * float64(e.ZoneVMs), Bytes: 2800 * float64(e.ZoneVMs)}
		m.EventCosts = append(m.EventCosts, e)
		m.Traffic = append(m.Traffic, Traffic{
			Nodes: size.nodes, SenderCPU: 150e-6, ReceiverCPU: 100e-6, AddedP99Micros: 900,
			SenderMemoryBytes: e.Idle.MemoryBytes + 5e6,
		})
	}
	return m
}

func knownRole(vms, services, links float64) RoleCost {
	return RoleCost{
		Nodes: 10, Links: links, CPU: cpuPerLink*links + cpuPerVM*vms + cpuPerService*services,
		MemoryBytes: memoryBase + memoryPerVM*vms, Messages: 2 * links, Bytes: 300 * links,
	}
}

func findRow(t *testing.T, r *Report, subject, quantity string) Row {
	for _, row := range r.Rows {
		if row.Subject == subject && row.Quantity == quantity {
			return row
		}
	}
	require.Failf(t, "no such row", "%s: %s", subject, quantity)
	return Row{}
}

func TestDeriveFromKnownCosts(t *testing.T) {
	r, err := Derive(knownMeasurement(), PlannedTarget(), UserLimits())
	require.NoError(t, err)
	const day = 86400.0
	changes := (2700*changeCPU + 806*(restartCPU+3*listCPUPerVM*5900)) / day
	messages := 28 + (2700*10+806*(28+3*10))/day
	payload := 14*300 + (2700*1000+806*(2800+3*1000+14*100))/day
	cases := []struct {
		subject, quantity string
		want              float64
		met               bool
	}{
		{"idle node", "processor time of control", cpuPerLink*14 + cpuPerVM*5900 + cpuPerService*190 + changes, true},
		{"idle node", "memory", memoryBase + 5900*memoryPerVM, true},
		{"idle node", "control messages", messages, true},
		{"idle node", "control bytes with headers", payload + 150*messages, true},
		{"reader", "control bytes with headers", payload + 150*messages + (806*3*190*5900+2700*400*190)/day*30/5900, true},
		{"node with calls", "processor time of calls (no bound)", 2.3e6 / 5900 * 250e-6, true},
		{"node with calls", "memory with calls", memoryBase + 5900*memoryPerVM + 5e6, true},
		{"fleet", "change in force everywhere, by hops", 0.1 * math.Log2(5900), true},
		{"fleet", "platform reads at rest", 1200.0 / 5900 * 30, true},
		{"fleet", "platform reads, all start at once", 5900.0 / 5 * (1 + 5 - 5900.0/1200), true},
		{"fleet", "VM list in one value", 190 * 5900, false},
		{"one restart", "processor time", restartCPU + 3*listCPUPerVM*5900, true},
		{"rack lost and back", "processor time", 40 * 0.01 / 10, false},
		{"one restart", "records to it on each of its links", 100 * 5900 / 10, false},
		{"zone lost and back", "records to each of its VMs", 6 * 100 * 5900 / 10, false},
		{"zone lost and back", "messages on one link", 590 * 28.0 / 28, true},
		{"regions part and heal", "links lost", 6 * 5 / 9.0, true},
	}
	for _, c := range cases {
		t.Run(c.subject+" "+c.quantity, func(t *testing.T) {
			row := findRow(t, r, c.subject, c.quantity)
			require.InEpsilon(t, c.want, row.Value, 0.02)
			require.Equal(t, c.met, row.Met())
		})
	}
	require.Equal(t, GrowthFlat, r.Model.Growth.Messages)
	require.Equal(t, GrowthLogarithmic, r.Model.Growth.Change)
	require.Equal(t, GrowthLinear, r.Model.Growth.Start)
}

func TestMissedRowsAreSorted(t *testing.T) {
	r := &Report{Rows: []Row{
		{Quantity: "within", Value: 1, Bound: 2},
		{Quantity: "a little over", Value: 3, Bound: 2},
		{Quantity: "without bound", Value: 9},
		{Quantity: "far over", Value: 9, Bound: 2},
	}}
	missed := r.Missed()
	require.Len(t, missed, 2)
	require.Equal(t, "far over", missed[0].Quantity)
	require.InDelta(t, 2.0/3, missed[1].Margin(), 1e-9)
}

func TestReportAsTextAndJSON(t *testing.T) {
	r, err := Derive(knownMeasurement(), PlannedTarget(), UserLimits())
	require.NoError(t, err)
	var text bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "DERIVED: 5900 NODES, 10 ZONES, 190 SERVICES")
	require.Contains(t, text.String(), "Not met: fleet: VM list in one value, 1.1 times its bound")
	data, err := json.Marshal(r)
	require.NoError(t, err)
	again := &Report{}
	require.NoError(t, json.Unmarshal(data, again))
	require.Equal(t, r, again)
}

func TestDeriveRejectsIncompleteMeasurement(t *testing.T) {
	cases := []struct {
		desc, want string
		drop       func(*Measurement)
	}{
		{"no fleets", "fleets", func(m *Measurement) { m.Fleets = nil }},
		{"one fleet", "fleets", func(m *Measurement) { m.Fleets = m.Fleets[:1] }},
		{"no events", "events", func(m *Measurement) { m.EventCosts = nil }},
		{"a fleet without calls", "traffic", func(m *Measurement) { m.Traffic = m.Traffic[1:] }},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			m := knownMeasurement()
			c.drop(m)
			_, err := Derive(m, PlannedTarget(), UserLimits())
			require.ErrorContains(t, err, c.want)
		})
	}
}

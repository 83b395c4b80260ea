package planning

import "math"

// Model holds the cost functions fitted to a measurement.
type Model struct {
	// IdleCPU is the processor time per second of a node that is not a reader, by
	// links, VMs and services.
	IdleCPU LinearFit `json:"idleCPU"`
	// ReaderCPU is the same for a reader.
	ReaderCPU LinearFit `json:"readerCPU"`
	// IdleMemory is the resident memory of a node that is not a reader, in bytes,
	// by VMs and services.
	IdleMemory LinearFit `json:"idleMemory"`
	// ReaderMemory is the same for a reader.
	ReaderMemory LinearFit `json:"readerMemory"`
	// LinkMessages is the rate of messages of one link, both ways.
	LinkMessages float64 `json:"linkMessages"`
	// LinkBytes is the rate of payload of one link, both ways, in bytes.
	LinkBytes float64 `json:"linkBytes"`
	// ChangeSeconds is the propagation time of a change, by the logarithm to base 2
	// of the number of nodes.
	ChangeSeconds LinearFit `json:"changeSeconds"`
	// ChangeSecondsLinear is the propagation time of a change by the number of
	// nodes, as when all nodes share one machine.
	ChangeSecondsLinear LinearFit `json:"changeSecondsLinear"`
	// LinksShare is the largest mean number of links of a fleet, as a share of the
	// designed number: links stay open after the choice of peers has changed.
	LinksShare float64 `json:"linksShare"`
	// ChangeCPU is the processor time of one change of the catalogue, by VMs and
	// services.
	ChangeCPU LinearFit `json:"changeCPU"`
	// ChangeMessages is the number of messages of one change of the catalogue.
	ChangeMessages float64 `json:"changeMessages"`
	// ChangeBytes is its payload.
	ChangeBytes float64 `json:"changeBytes"`
	// ListCPU is the processor time of one change of the VM list, by VMs.
	ListCPU LinearFit `json:"listCPU"`
	// ListMessages is the number of messages of one change of the VM list.
	ListMessages float64 `json:"listMessages"`
	// ListBytes is its payload.
	ListBytes float64 `json:"listBytes"`
	// RestartCPU is the processor time of the stop and the start of one VM, by VMs.
	RestartCPU LinearFit `json:"restartCPU"`
	// RestartMessages is the number of messages of a stop and a start.
	RestartMessages float64 `json:"restartMessages"`
	// RestartBytes is their payload.
	RestartBytes float64 `json:"restartBytes"`
	// BulkRestartCPU is the processor time of each of many concurrent restarts, by
	// VMs.
	BulkRestartCPU LinearFit `json:"togetherCPU"`
	// BulkRestartMessages is the number of messages of each of many concurrent
	// restarts.
	BulkRestartMessages float64 `json:"togetherMessages"`
	// BulkRestartBytes is their payload.
	BulkRestartBytes float64 `json:"togetherBytes"`
	// LostLinkCPU is the processor time of a link that is lost and re-established,
	// by VMs.
	LostLinkCPU LinearFit `json:"lostLinkCPU"`
	// LostLinkBytes is the payload of a link that is lost and re-established.
	LostLinkBytes float64 `json:"lostLinkBytes"`
	// ZoneReads is the rate of platform reads of one idle zone.
	ZoneReads float64 `json:"zoneReads"`
	// StartReads is the peak rate of reads when all nodes start at once, by nodes.
	StartReads LinearFit `json:"startReads"`
	// CallCPU is the processor time of one call on both nodes, in seconds.
	CallCPU float64 `json:"callCPU"`
	// CallMemory is the memory that calls take on a node beyond that of an idle one.
	CallMemory float64 `json:"callMemory"`
	// Growth holds the growth of each cost with the number of running nodes.
	Growth CostGrowths `json:"growth"`
}

// CostGrowths holds the growth of costs with the number of running nodes.
type CostGrowths struct {
	CPU      Growth `json:"cpu"`
	Memory   Growth `json:"memory"`
	Messages Growth `json:"messages"`
	Bytes    Growth `json:"bytes"`
	Change   Growth `json:"change"`
	Reads    Growth `json:"reads"`
	Start    Growth `json:"start"`
}

// linksLostPerZone is the number of links that a node loses with a zone, in a fleet
// of a few equal zones: one dialled and one accepted.
const linksLostPerZone = 2

// Links that a node dials: in its zone, and one in each of some other zones.
const (
	linksInZone       = 4
	linksToOtherZones = 3
)

// designedLinks returns the mean number of links of a node, dialled and accepted.
func designedLinks(zones int) float64 {
	return 2 * float64(linksInZone+min(linksToOtherZones, zones-1))
}

// NewModel fits all cost functions.
func NewModel(m *Measurement) Model {
	out := Model{}
	out.fitRest(m)
	out.fitChanges(m.EventCosts)
	out.fitRestarts(m.EventCosts)
	out.fitCalls(m)
	out.Growth = classifyGrowths(m.Fleets)
	return out
}

// fitRest fits the costs of idle fleets.
func (o *Model) fitRest(m *Measurement) {
	var idleCPU, readerCPU, idleMemory, readerMemory, seconds, secondsLinear, start []Point
	var links, messages, bytes, reads, zones float64
	add := func(vms, services float64, idle, reader RoleCost) {
		idleCPU = append(idleCPU, Point{Predictors: []float64{idle.Links, vms, services}, Value: idle.CPU})
		readerCPU = append(readerCPU, Point{Predictors: []float64{reader.Links, vms, services}, Value: reader.CPU})
		idleMemory = append(idleMemory, Point{Predictors: []float64{vms, services}, Value: idle.MemoryBytes})
		readerMemory = append(readerMemory, Point{Predictors: []float64{vms, services}, Value: reader.MemoryBytes})
		links += idle.Links
		messages += idle.Messages
		bytes += idle.Bytes
	}
	for i := range m.Fleets {
		f := &m.Fleets[i]
		add(f.VMs(), float64(f.Services), f.Idle, f.Reader)
		reads += f.ReadsPerSecond
		zones += float64(f.Zones)
		seconds = append(seconds, Point{Predictors: []float64{math.Log2(float64(f.Nodes))}, Value: f.ChangeSeconds})
		secondsLinear = append(secondsLinear, Point{Predictors: []float64{float64(f.Nodes)}, Value: f.ChangeSeconds})
		o.LinksShare = max(o.LinksShare, f.Idle.Links/designedLinks(f.Zones))
		start = append(start, Point{Predictors: []float64{float64(f.Nodes)}, Value: float64(f.StartPeakReads)})
	}
	for i := range m.EventCosts {
		e := &m.EventCosts[i]
		add(e.VMs(), float64(e.Services), e.Idle, e.Reader)
	}
	o.IdleCPU, o.ReaderCPU = Fit(idleCPU), Fit(readerCPU)
	o.IdleMemory, o.ReaderMemory = Fit(idleMemory), Fit(readerMemory)
	o.LinkMessages, o.LinkBytes = ratio(messages, links), ratio(bytes, links)
	o.ZoneReads = ratio(reads, zones)
	o.ChangeSeconds, o.ChangeSecondsLinear, o.StartReads = Fit(seconds), Fit(secondsLinear), Fit(start)
}

// fitChanges fits the cost of a document change to a node.
func (o *Model) fitChanges(events []EventCosts) {
	var change, list []Point
	for i := range events {
		e := &events[i]
		change = append(change, Point{Predictors: []float64{e.VMs(), float64(e.Services)}, Value: e.CatalogueChange.CPU})
		list = append(list, Point{Predictors: []float64{e.VMs()}, Value: e.ListChange.CPU})
		o.ChangeMessages = max(o.ChangeMessages, e.CatalogueChange.Messages)
		o.ChangeBytes = max(o.ChangeBytes, e.CatalogueChange.Bytes)
		o.ListMessages = max(o.ListMessages, e.ListChange.Messages)
		o.ListBytes = max(o.ListBytes, e.ListChange.Bytes)
	}
	o.ChangeCPU, o.ListCPU = Fit(change), Fit(list)
}

// fitRestarts fits the cost of restarting VMs to the other nodes. Messages and
// bytes are taken from fleets whose VMs all run: there a node forwards a record once
// on each of its links, regardless of the number of VMs, and the largest measured
// cost counts. The records of a large list, which a restarted VM receives, are
// computed separately.
func (o *Model) fitRestarts(events []EventCosts) {
	var single, bulk, lost []Point
	for i := range events {
		e := &events[i]
		predictors := []float64{e.VMs()}
		vms := float64(max(e.ZoneVMs, 1))
		single = append(single, Point{Predictors: predictors, Value: e.Leave.CPU + e.Join.CPU})
		bulk = append(bulk, Point{Predictors: predictors, Value: e.ZoneRestart.CPU / vms})
		lost = append(lost, Point{Predictors: predictors, Value: e.ZoneFreeze.CPU / linksLostPerZone})
		if e.Listed > 0 {
			continue
		}
		o.RestartMessages = max(o.RestartMessages, e.Leave.Messages+e.Join.Messages)
		o.RestartBytes = max(o.RestartBytes, e.Leave.Bytes+e.Join.Bytes)
		o.BulkRestartMessages = max(o.BulkRestartMessages, e.ZoneRestart.Messages/vms)
		o.BulkRestartBytes = max(o.BulkRestartBytes, e.ZoneRestart.Bytes/vms)
		o.LostLinkBytes = max(o.LostLinkBytes, e.ZoneFreeze.Bytes/linksLostPerZone)
	}
	o.RestartCPU, o.BulkRestartCPU, o.LostLinkCPU = Fit(single), Fit(bulk), Fit(lost)
}

// fitCalls sets the cost of calls to that of the most expensive fleet.
func (o *Model) fitCalls(m *Measurement) {
	for i, t := range m.Traffic {
		o.CallCPU = max(o.CallCPU, t.SenderCPU+t.ReceiverCPU)
		o.CallMemory = max(o.CallMemory, max(t.SenderMemoryBytes, t.ReceiverMemoryBytes)-m.EventCosts[i].Idle.MemoryBytes)
	}
}

// classifyGrowths classifies the growth over the fleets that differ only in the
// number of nodes.
func classifyGrowths(fleets []Fleet) CostGrowths {
	var comparable []Fleet
	for _, f := range fleets {
		if f.Listed == 0 && f.Zones == fleets[0].Zones && f.Services == fleets[0].Services {
			comparable = append(comparable, f)
		}
	}
	classify := func(value func(*Fleet) float64) Growth {
		var sizes, values []float64
		for i := range comparable {
			sizes = append(sizes, float64(comparable[i].Nodes))
			values = append(values, value(&comparable[i]))
		}
		return ClassifyGrowth(sizes, values)
	}
	return CostGrowths{
		CPU:      classify(func(f *Fleet) float64 { return f.Idle.CPU }),
		Memory:   classify(func(f *Fleet) float64 { return f.Idle.MemoryBytes }),
		Messages: classify(func(f *Fleet) float64 { return f.Idle.Messages }),
		Bytes:    classify(func(f *Fleet) float64 { return f.Idle.Bytes }),
		Change:   classify(func(f *Fleet) float64 { return f.ChangeSeconds }),
		Reads:    classify(func(f *Fleet) float64 { return f.ReadsPerSecond }),
		Start:    classify(func(f *Fleet) float64 { return float64(f.StartPeakReads) }),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

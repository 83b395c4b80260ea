package planning

import "math"

// Model holds the slopes of a measurement.
type Model struct {
	// IdleCPU is the processor time for each second of a node without duty, by
	// links, VMs and services.
	IdleCPU LinearFit `json:"idleCPU"`
	// ReaderCPU is that of a reader.
	ReaderCPU LinearFit `json:"readerCPU"`
	// IdleMemory is the resident memory of a node without duty, in bytes, by VMs
	// and services.
	IdleMemory LinearFit `json:"idleMemory"`
	// ReaderMemory is that of a reader.
	ReaderMemory LinearFit `json:"readerMemory"`
	// LinkMessages is the rate of messages of one link, both ways.
	LinkMessages float64 `json:"linkMessages"`
	// LinkBytes is the rate of payload of one link, both ways, in bytes.
	LinkBytes float64 `json:"linkBytes"`
	// ChangeSeconds is the time of a change, by the logarithm to base 2 of the
	// number of nodes.
	ChangeSeconds LinearFit `json:"changeSeconds"`
	// ChangeSecondsLinear is the time of a change by the number of nodes, as on one
	// machine that all nodes share.
	ChangeSecondsLinear LinearFit `json:"changeSecondsLinear"`
	// LinksShare is the largest mean number of links of a fleet, as a share of the
	// number by design: links outlive the choice that made them.
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
	// BulkRestartCPU is the processor time of each of many restarts at once, by VMs.
	BulkRestartCPU LinearFit `json:"togetherCPU"`
	// BulkRestartMessages is the number of messages of each of many restarts at once.
	BulkRestartMessages float64 `json:"togetherMessages"`
	// BulkRestartBytes is their payload.
	BulkRestartBytes float64 `json:"togetherBytes"`
	// LostLinkCPU is the processor time of a link that is lost and made again, by
	// VMs.
	LostLinkCPU LinearFit `json:"lostLinkCPU"`
	// LostLinkBytes is the payload of a link that is lost and made again.
	LostLinkBytes float64 `json:"lostLinkBytes"`
	// ZoneReads is the rate of reads of the platform of one zone at rest.
	ZoneReads float64 `json:"zoneReads"`
	// StartReads is the peak rate of reads when nodes start at once, by nodes.
	StartReads LinearFit `json:"startReads"`
	// CallCPU is the processor time of one call on both of its nodes, in seconds.
	CallCPU float64 `json:"callCPU"`
	// CallMemory is the memory that calls take on a node beyond its rest.
	CallMemory float64 `json:"callMemory"`
	// Growth names how each cost grew with the number of running nodes.
	Growth CostGrowths `json:"growth"`
}

// CostGrowths names how costs grow with the number of nodes that run.
type CostGrowths struct {
	CPU      Growth `json:"cpu"`
	Memory   Growth `json:"memory"`
	Messages Growth `json:"messages"`
	Bytes    Growth `json:"bytes"`
	Change   Growth `json:"change"`
	Reads    Growth `json:"reads"`
	Start    Growth `json:"start"`
}

// linksLostWithAZone is the number of links of a node that a lost zone takes
// with it, where there are a few zones of one size: one made and one accepted.
const linksLostWithAZone = 2

// Links that a node makes: in its zone, and one in each of some other zones.
const (
	linksInZone    = 4
	linksElsewhere = 3
)

// linksByDesign returns the mean number of links of a node, made and accepted.
func linksByDesign(zones int) float64 {
	return 2 * float64(linksInZone+min(linksElsewhere, zones-1))
}

// NewModel fits all slopes.
func NewModel(m *Measurement) Model {
	out := Model{}
	out.fitRest(m)
	out.fitChanges(m.EventCosts)
	out.fitRestarts(m.EventCosts)
	out.fitCalls(m)
	out.Growth = growths(m.Fleets)
	return out
}

// fitRest fits what fleets cost while nothing happens.
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
		o.LinksShare = max(o.LinksShare, f.Idle.Links/linksByDesign(f.Zones))
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

// fitChanges fits what a change of a document costs a node.
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

// fitRestarts fits what VMs that come and go cost the others. Messages and bytes
// come from fleets whose VMs all run: there a node passes a record on once on each
// of its links, whatever the number of VMs, and the largest measured cost counts.
// The records of a large list, which go to a VM that comes back, are counted apart.
func (o *Model) fitRestarts(events []EventCosts) {
	var one, together, lost []Point
	for i := range events {
		e := &events[i]
		at := []float64{e.VMs()}
		vms := float64(max(e.ZoneVMs, 1))
		one = append(one, Point{Predictors: at, Value: e.Leave.CPU + e.Join.CPU})
		together = append(together, Point{Predictors: at, Value: e.ZoneRestart.CPU / vms})
		lost = append(lost, Point{Predictors: at, Value: e.ZoneFreeze.CPU / linksLostWithAZone})
		if e.Listed > 0 {
			continue
		}
		o.RestartMessages = max(o.RestartMessages, e.Leave.Messages+e.Join.Messages)
		o.RestartBytes = max(o.RestartBytes, e.Leave.Bytes+e.Join.Bytes)
		o.BulkRestartMessages = max(o.BulkRestartMessages, e.ZoneRestart.Messages/vms)
		o.BulkRestartBytes = max(o.BulkRestartBytes, e.ZoneRestart.Bytes/vms)
		o.LostLinkBytes = max(o.LostLinkBytes, e.ZoneFreeze.Bytes/linksLostWithAZone)
	}
	o.RestartCPU, o.BulkRestartCPU, o.LostLinkCPU = Fit(one), Fit(together), Fit(lost)
}

// fitCalls takes what calls cost; the most costly fleet counts.
func (o *Model) fitCalls(m *Measurement) {
	for i, t := range m.Traffic {
		o.CallCPU = max(o.CallCPU, t.SenderCPU+t.ReceiverCPU)
		o.CallMemory = max(o.CallMemory, max(t.SenderMemoryBytes, t.ReceiverMemoryBytes)-m.EventCosts[i].Idle.MemoryBytes)
	}
}

// growths judges the fleets that differ in the number of nodes alone.
func growths(fleets []Fleet) CostGrowths {
	var same []Fleet
	for _, f := range fleets {
		if f.Listed == 0 && f.Zones == fleets[0].Zones && f.Services == fleets[0].Services {
			same = append(same, f)
		}
	}
	of := func(value func(*Fleet) float64) Growth {
		var sizes, values []float64
		for i := range same {
			sizes = append(sizes, float64(same[i].Nodes))
			values = append(values, value(&same[i]))
		}
		return ClassifyGrowth(sizes, values)
	}
	return CostGrowths{
		CPU:      of(func(f *Fleet) float64 { return f.Idle.CPU }),
		Memory:   of(func(f *Fleet) float64 { return f.Idle.MemoryBytes }),
		Messages: of(func(f *Fleet) float64 { return f.Idle.Messages }),
		Bytes:    of(func(f *Fleet) float64 { return f.Idle.Bytes }),
		Change:   of(func(f *Fleet) float64 { return f.ChangeSeconds }),
		Reads:    of(func(f *Fleet) float64 { return f.ReadsPerSecond }),
		Start:    of(func(f *Fleet) float64 { return float64(f.StartPeakReads) }),
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

package planning

import (
	"fmt"

	"github.com/galenacart/galenacart/decision/readers"
)

const (
	// frameBytes is what a message takes on the network beyond its payload: the
	// headers of WebSocket, TCP, IP and Ethernet, and an acknowledgement.
	frameBytes = 150
	// listChanges is the number of times that a restart changes the VM list:
	// leaving, gone, and live again.
	listChanges = 3
	// linkBurst and linkRate bound the messages that a node takes on one link
	// before it closes the link as a flood: at once, and for each second after.
	linkBurst, linkRate = 600, 200
	// eventSeconds is the time over which a lost rack or zone comes back.
	eventSeconds = 10
)

// Row is one value at the planned size.
type Row struct {
	// Subject is a role or an event.
	Subject string `json:"subject"`
	// Quantity says what the value is.
	Quantity string `json:"quantity"`
	// Value is the value at the planned size.
	Value float64 `json:"value"`
	// Unit is the unit of the value and the bound.
	Unit string `json:"unit"`
	// Bound is the users' bound, 0 when there is none.
	Bound float64 `json:"bound,omitempty"`
	// Growth says how the value grows with the fleet.
	Growth Growth `json:"growth"`
	// Component is the package of the mechanism that carries it.
	Component string `json:"carrier"`
}

// Margin returns how often the value fits into its bound.
func (r Row) Margin() float64 {
	return ratio(r.Bound, r.Value)
}

// Met reports whether the value is within its bound, if it has one.
func (r Row) Met() bool {
	return r.Bound == 0 || r.Value <= r.Bound
}

// Report is what follows from a measurement.
type Report struct {
	// Measurement is what it follows from.
	Measurement *Measurement `json:"measured"`
	// Target is the planned size.
	Target Target `json:"target"`
	// Model holds the slopes.
	Model Model `json:"model"`
	// Rows holds the values at the planned size.
	Rows []Row `json:"rows"`
}

// Missed returns the rows over their bound, the worst one first.
func (r *Report) Missed() []Row {
	var out []Row
	for _, row := range r.Rows {
		if row.Met() {
			continue
		}
		at := len(out)
		for at > 0 && out[at-1].Margin() > row.Margin() {
			at--
		}
		out = append(out[:at], append([]Row{row}, out[at:]...)...)
	}
	return out
}

// Derive works out the values at a size. It fails when a part of the measurement
// is missing.
func Derive(m *Measurement, t Target, l Limits) (*Report, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	d := &derivation{measured: m, target: t, limits: l, model: NewModel(m)}
	d.roles()
	d.fleet()
	d.restarts()
	return &Report{Measurement: m, Target: t, Model: d.model, Rows: d.rows}, nil
}

// derivation gathers the rows.
type derivation struct {
	measured *Measurement
	target   Target
	limits   Limits
	model    Model
	rows     []Row
}

func (d *derivation) add(r Row) {
	r.Value = max(r.Value, 0) // noise can make a small slope negative
	d.rows = append(d.rows, r)
}

func (d *derivation) vms() float64 {
	return float64(d.target.Nodes)
}

func (d *derivation) services() float64 {
	return float64(d.target.Services)
}

// links returns the mean number of links of a node.
func (d *derivation) links() float64 {
	return linksByDesign(d.target.Zones) * max(1, d.model.LinksShare)
}

// growth tells whether a part of a value that grows with the fleet counts.
func growth(part, value float64) Growth {
	if part > flatShare*value {
		return GrowthLinear
	}
	return GrowthFlat
}

// restartCPU is what one restart costs each other node: the records of the VM
// and the changes of the list.
func (d *derivation) restartCPU() float64 {
	return max(0, d.model.RestartCPU.Value(d.vms())) + listChanges*max(0, d.model.ListCPU.Value(d.vms()))
}

// dayCPU is what the changes and restarts of a day cost, as a rate.
func (d *derivation) dayCPU() float64 {
	changes := d.target.ChangesPerDay * max(0, d.model.ChangeCPU.Value(d.vms(), d.services()))
	return (changes + d.target.RestartsPerDay*d.restartCPU()) / secondsPerDay
}

// messages returns the rate of messages, with those of an ordinary day.
func (d *derivation) messages() float64 {
	day := d.target.ChangesPerDay*d.model.ChangeMessages +
		d.target.RestartsPerDay*(d.model.RestartMessages+listChanges*d.model.ListMessages)
	return d.links()*d.model.LinkMessages + day/secondsPerDay
}

// bytes returns the rate of bytes with those of headers and of an ordinary day.
func (d *derivation) bytes() float64 {
	neighbour := d.links() / d.vms() * d.recordsBytes()
	day := d.target.ChangesPerDay*d.model.ChangeBytes +
		d.target.RestartsPerDay*(d.model.RestartBytes+listChanges*d.model.ListBytes+neighbour)
	return d.links()*d.model.LinkBytes + day/secondsPerDay + d.messages()*frameBytes
}

// recordsBytes is what goes to a VM that comes back on each of its links, as it
// knows no records and its peers know all.
func (d *derivation) recordsBytes() float64 {
	return d.vms() * d.measured.RecordBytes
}

// readerBytes is what a node reads from the platform: both documents whole with
// each change for which it is a reader. All nodes are, in turn.
func (d *derivation) readerBytes() float64 {
	list := d.target.RestartsPerDay * listChanges * d.listBytes()
	all := (list + d.target.ChangesPerDay*d.catalogueBytes()) / secondsPerDay
	return all * readers.PerZone * float64(d.target.Zones) / d.vms()
}

func (d *derivation) listBytes() float64 {
	return d.vms() * d.measured.ListBytesPerVM
}

func (d *derivation) catalogueBytes() float64 {
	return d.services() * d.measured.CatalogueBytesPerService
}

// roles adds what a node of each role needs.
func (d *derivation) roles() {
	m := &d.model
	idleCPU := m.IdleCPU.Value(d.links(), d.vms(), d.services()) + d.dayCPU()
	idleMemory := m.IdleMemory.Value(d.vms(), d.services())
	const idle, reader, loaded = "idle node", "reader", "node with calls"
	d.control(idle, idleCPU, m.IdleCPU, idleMemory, m.IdleMemory, d.bytes())
	readerCPU := m.ReaderCPU.Value(d.links(), d.vms(), d.services()) + d.dayCPU()
	d.control(reader, readerCPU, m.ReaderCPU, m.ReaderMemory.Value(d.vms(), d.services()), m.ReaderMemory, d.bytes()+d.readerBytes())
	calls := d.target.CallsPerNode() * m.CallCPU
	d.add(Row{loaded, "processor time of calls (no bound)", calls, "core", 0, GrowthLinear, "internal/traffic"})
	d.add(Row{loaded, "memory with calls", idleMemory + max(0, m.CallMemory), "bytes", d.limits.MemoryBytes, growth(m.IdleMemory.Coefficients[0]*d.vms(), idleMemory), "internal/traffic"})
	for i, t := range d.measured.Traffic {
		added := float64(t.AddedP99Micros)
		name := fmt.Sprintf("added at p99, as measured with %.0f VMs", d.measured.EventCosts[i].VMs())
		d.add(Row{loaded, name, added, "us", d.limits.AddedMicros, GrowthFlat, "internal/traffic"})
	}
}

// control adds what control costs in one role.
func (d *derivation) control(role string, cpu float64, cpuSlopes LinearFit, memory float64, memorySlopes LinearFit, bytes float64) {
	const perVM = 1 // place of the slope per VM of processor time
	ofCPU := growth(cpuSlopes.Coefficients[perVM]*d.vms()+d.dayCPU(), cpu)
	ofMemory := growth(memorySlopes.Coefficients[0]*d.vms(), memory)
	ofBytes := growth(bytes-d.links()*(d.model.LinkBytes+frameBytes*d.model.LinkMessages), bytes)
	d.add(Row{role, "processor time of control", cpu, "core", d.limits.CPU, ofCPU, "internal/control"})
	d.add(Row{role, "memory", memory, "bytes", d.limits.MemoryBytes, ofMemory, "internal/control"})
	d.add(Row{role, "control messages", d.messages(), "1/s", 0, d.model.Growth.Messages, "internal/peer"})
	d.add(Row{role, "control bytes with headers", bytes, "bytes/s", d.limits.BytesPerSecond, ofBytes, "internal/peer"})
}

// fleet adds what the whole fleet needs.
func (d *derivation) fleet() {
	m, t, l := &d.model, d.target, d.limits
	const fleet = "fleet"
	change := m.ChangeSeconds.Value(log2(d.vms()))
	const carrier = "internal/control, internal/peer/delta"
	d.add(Row{fleet, "change in force everywhere, by hops", change, "s", l.ChangeSeconds, GrowthLogarithmic, carrier})
	linear := m.ChangeSecondsLinear.Value(d.vms())
	d.add(Row{fleet, "change in force everywhere, all nodes on one machine", linear, "s", l.ChangeSeconds, GrowthLinear, carrier})
	// Each reader is held to its share of what the whole fleet may read.
	share := float64(readers.FleetRateLimit) / d.vms() * readers.PerZone * float64(t.Zones)
	reads := min(m.ZoneReads*float64(t.Zones), share)
	d.add(Row{fleet, "platform reads at rest", reads, "1/s", l.ReadsPerSecond, GrowthFlat, "decision/readers"})
	// What small fleets show grows no further than the starters' shares allow.
	start := min(m.StartReads.Value(d.vms()), readers.StartPeakRate(t.Nodes))
	d.add(Row{fleet, "platform reads, all start at once", start, "1/s", l.ReadsPerSecond, GrowthLinear, "decision/readers"})
	d.add(Row{fleet, "VM list in one value", d.listBytes(), "bytes", l.ValueBytes, GrowthLinear, "internal/vmlist"})
	d.add(Row{fleet, "catalogue in one value", d.catalogueBytes(), "bytes", l.ValueBytes, GrowthFlat, "internal/catalogue"})
}

// restarts adds what VMs that come and go cost each other node.
func (d *derivation) restarts() {
	d.add(Row{"one restart", "processor time", d.restartCPU(), "s", 0, GrowthLinear, "internal/control"})
	bytes := d.recordsBytes() / eventSeconds
	d.add(Row{"one restart", "records to it on each of its links", bytes, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/control"})
	d.add(Row{"ordinary day", "processor time of changes and restarts", d.dayCPU(), "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.together("rack lost and back", float64(d.target.RackVMs))
	d.together("zone lost and back", d.target.ZoneVMs())
	// A VM of the zone hears all records on each link to another zone.
	back := 2 * linksElsewhere * d.recordsBytes() / eventSeconds
	d.add(Row{"zone lost and back", "records to each of its VMs", back, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/control"})
	d.regions()
}

// together adds what many restarts at once cost, while they last.
func (d *derivation) together(event string, vms float64) {
	m := &d.model
	cpu := vms * max(0, m.BulkRestartCPU.Value(d.vms()))
	messages := vms * m.BulkRestartMessages
	bytes := vms*m.BulkRestartBytes + messages*frameBytes
	d.add(Row{event, "processor time", cpu / eventSeconds, "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.add(Row{event, "control bytes with headers", bytes / eventSeconds, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/peer"})
	// Half of the messages come in, spread over the links.
	d.add(Row{event, "messages on one link", messages / 2 / d.links(), "", linkBurst + linkRate*eventSeconds, GrowthLinear, "internal/peer"})
}

// regions adds what two regions cost that lose each other and meet again.
func (d *derivation) regions() {
	const event, regions = "regions part and heal", 2
	m := &d.model
	half := float64(d.target.Zones / regions)
	// Links within the zone stay; of the others, those to the zones over there go.
	lost := 2 * linksElsewhere * half / float64(d.target.Zones-1)
	cpu := lost * max(0, m.LostLinkCPU.Value(d.vms()))
	bytes := lost * m.LostLinkBytes
	d.add(Row{event, "links lost", lost, "", 0, GrowthFlat, "internal/control"})
	d.add(Row{event, "processor time", cpu / eventSeconds, "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.add(Row{event, "control bytes", bytes / eventSeconds, "bytes/s", d.limits.BytesPerSecond, GrowthFlat, "internal/peer"})
}

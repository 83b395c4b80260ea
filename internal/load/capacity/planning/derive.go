package planning

import (
	"fmt"

	"github.com/galenacart/galenacart/decision/readers"
)

const (
	// frameOverheadBytes is the network overhead of a message: the headers of
	// WebSocket, TCP, IP and Ethernet, and an acknowledgement.
	frameOverheadBytes = 150
	// listChangesPerRestart is the number of changes of the VM list in a restart:
	// to leaving, to gone, and back to live.
	listChangesPerRestart = 3
	// linkBurst and linkRate are the flood limit of a link, after which a node
	// closes it: a burst of messages, and messages per second.
	linkBurst, linkRate = 600, 200
	// eventSeconds is the time over which a lost rack or zone recovers.
	eventSeconds = 10
)

// Row is one value at the planned size.
type Row struct {
	// Subject is a role or an event.
	Subject string `json:"subject"`
	// Quantity names the value.
	Quantity string `json:"quantity"`
	// Value is the value at the planned size.
	Value float64 `json:"value"`
	// Unit is the unit of the value and the bound.
	Unit string `json:"unit"`
	// Bound is the users' bound, or 0 if there is none.
	Bound float64 `json:"bound,omitempty"`
	// Growth is the growth of the value with the size of the fleet.
	Growth Growth `json:"growth"`
	// Component is the package that implements the mechanism behind the value.
	Component string `json:"carrier"`
}

// Margin returns the ratio of the bound to the value.
func (r Row) Margin() float64 {
	return ratio(r.Bound, r.Value)
}

// Met reports whether the value is within its bound, if it has one.
func (r Row) Met() bool {
	return r.Bound == 0 || r.Value <= r.Bound
}

// Report holds the values derived from a measurement.
type Report struct {
	// Measurement is the underlying measurement.
	Measurement *Measurement `json:"measured"`
	// Target is the planned size.
	Target Target `json:"target"`
	// Model holds the fitted cost functions.
	Model Model `json:"model"`
	// Rows holds the values at the planned size.
	Rows []Row `json:"rows"`
}

// Missed returns the rows over their bound, sorted by margin, the smallest first.
func (r *Report) Missed() []Row {
	var out []Row
	for _, row := range r.Rows {
		if row.Met() {
			continue
		}
		position := len(out)
		for position > 0 && out[position-1].Margin() > row.Margin() {
			position--
		}
		out = append(out[:position], append([]Row{row}, out[position:]...)...)
	}
	return out
}

// Derive computes the values at the target size. It fails when a part of the
// measurement is missing.
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

// derivation collects the rows of a report.
type derivation struct {
	measured *Measurement
	target   Target
	limits   Limits
	model    Model
	rows     []Row
}

func (d *derivation) addRow(r Row) {
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
	return designedLinks(d.target.Zones) * max(1, d.model.LinksShare)
}

// partGrowth returns GrowthLinear if the part of a value that grows with the fleet
// is more than flatShare of it.
func partGrowth(part, value float64) Growth {
	if part > flatShare*value {
		return GrowthLinear
	}
	return GrowthFlat
}

// restartCPU returns the processor time of one restart on each other node: for the
// records of the VM and the changes of the list.
func (d *derivation) restartCPU() float64 {
	return max(0, d.model.RestartCPU.Value(d.vms())) + listChangesPerRestart*max(0, d.model.ListCPU.Value(d.vms()))
}

// dayCPU returns the processor time of the changes and restarts of a day, as a
// rate.
func (d *derivation) dayCPU() float64 {
	changes := d.target.ChangesPerDay * max(0, d.model.ChangeCPU.Value(d.vms(), d.services()))
	return (changes + d.target.RestartsPerDay*d.restartCPU()) / secondsPerDay
}

// messages returns the rate of messages, including the changes and restarts of an
// ordinary day.
func (d *derivation) messages() float64 {
	day := d.target.ChangesPerDay*d.model.ChangeMessages +
		d.target.RestartsPerDay*(d.model.RestartMessages+listChangesPerRestart*d.model.ListMessages)
	return d.links()*d.model.LinkMessages + day/secondsPerDay
}

// bytes returns the rate of bytes, including headers and the changes and restarts
// of an ordinary day.
func (d *derivation) bytes() float64 {
	joinRecords := d.links() / d.vms() * d.recordsBytes()
	day := d.target.ChangesPerDay*d.model.ChangeBytes +
		d.target.RestartsPerDay*(d.model.RestartBytes+listChangesPerRestart*d.model.ListBytes+joinRecords)
	return d.links()*d.model.LinkBytes + day/secondsPerDay + d.messages()*frameOverheadBytes
}

// recordsBytes returns the size of the records that a restarted VM receives on each
// of its links: it has no records, and its peers have all.
func (d *derivation) recordsBytes() float64 {
	return d.vms() * d.measured.RecordBytes
}

// readerBytes returns the rate of bytes that a node reads from the platform: a full
// document for each change while it is a reader, averaged over all nodes because
// the role rotates.
func (d *derivation) readerBytes() float64 {
	list := d.target.RestartsPerDay * listChangesPerRestart * d.listBytes()
	all := (list + d.target.ChangesPerDay*d.catalogueBytes()) / secondsPerDay
	return all * readers.PerZone * float64(d.target.Zones) / d.vms()
}

func (d *derivation) listBytes() float64 {
	return d.vms() * d.measured.ListBytesPerVM
}

func (d *derivation) catalogueBytes() float64 {
	return d.services() * d.measured.CatalogueBytesPerService
}

// roles adds the rows of each node role.
func (d *derivation) roles() {
	m := &d.model
	idleCPU := m.IdleCPU.Value(d.links(), d.vms(), d.services()) + d.dayCPU()
	idleMemory := m.IdleMemory.Value(d.vms(), d.services())
	const idle, reader, loaded = "idle node", "reader", "node with calls"
	d.control(idle, idleCPU, m.IdleCPU, idleMemory, m.IdleMemory, d.bytes())
	readerCPU := m.ReaderCPU.Value(d.links(), d.vms(), d.services()) + d.dayCPU()
	d.control(reader, readerCPU, m.ReaderCPU, m.ReaderMemory.Value(d.vms(), d.services()), m.ReaderMemory, d.bytes()+d.readerBytes())
	calls := d.target.CallsPerNode() * m.CallCPU
	d.addRow(Row{loaded, "processor time of calls (no bound)", calls, "core", 0, GrowthLinear, "internal/traffic"})
	d.addRow(Row{loaded, "memory with calls", idleMemory + max(0, m.CallMemory), "bytes", d.limits.MemoryBytes, partGrowth(m.IdleMemory.Coefficients[0]*d.vms(), idleMemory), "internal/traffic"})
	for i, t := range d.measured.Traffic {
		added := float64(t.AddedP99Micros)
		name := fmt.Sprintf("added at p99, as measured with %.0f VMs", d.measured.EventCosts[i].VMs())
		d.addRow(Row{loaded, name, added, "us", d.limits.AddedMicros, GrowthFlat, "internal/traffic"})
	}
}

// control adds the rows of the control plane for one role.
func (d *derivation) control(role string, cpu float64, cpuSlopes LinearFit, memory float64, memorySlopes LinearFit, bytes float64) {
	const perVM = 1 // index of the coefficient per VM of processor time
	cpuGrowth := partGrowth(cpuSlopes.Coefficients[perVM]*d.vms()+d.dayCPU(), cpu)
	memoryGrowth := partGrowth(memorySlopes.Coefficients[0]*d.vms(), memory)
	bytesGrowth := partGrowth(bytes-d.links()*(d.model.LinkBytes+frameOverheadBytes*d.model.LinkMessages), bytes)
	d.addRow(Row{role, "processor time of control", cpu, "core", d.limits.CPU, cpuGrowth, "internal/control"})
	d.addRow(Row{role, "memory", memory, "bytes", d.limits.MemoryBytes, memoryGrowth, "internal/control"})
	d.addRow(Row{role, "control messages", d.messages(), "1/s", 0, d.model.Growth.Messages, "internal/peer"})
	d.addRow(Row{role, "control bytes with headers", bytes, "bytes/s", d.limits.BytesPerSecond, bytesGrowth, "internal/peer"})
}

// fleet adds the rows of the whole fleet.
func (d *derivation) fleet() {
	m, t, l := &d.model, d.target, d.limits
	const fleet = "fleet"
	change := m.ChangeSeconds.Value(log2(d.vms()))
	const carrier = "internal/control, internal/peer/delta"
	d.addRow(Row{fleet, "change in force everywhere, by hops", change, "s", l.ChangeSeconds, GrowthLogarithmic, carrier})
	linear := m.ChangeSecondsLinear.Value(d.vms())
	d.addRow(Row{fleet, "change in force everywhere, all nodes on one machine", linear, "s", l.ChangeSeconds, GrowthLinear, carrier})
	// Each reader is limited to its share of the read rate of the fleet.
	share := float64(readers.FleetRateLimit) / d.vms() * readers.PerZone * float64(t.Zones)
	reads := min(m.ZoneReads*float64(t.Zones), share)
	d.addRow(Row{fleet, "platform reads at rest", reads, "1/s", l.ReadsPerSecond, GrowthFlat, "decision/readers"})
	// The shares of starting nodes limit the growth seen in small fleets.
	start := min(m.StartReads.Value(d.vms()), readers.StartPeakRate(t.Nodes))
	d.addRow(Row{fleet, "platform reads, all start at once", start, "1/s", l.ReadsPerSecond, GrowthLinear, "decision/readers"})
	d.addRow(Row{fleet, "VM list in one value", d.listBytes(), "bytes", l.ValueBytes, GrowthLinear, "internal/vmlist"})
	d.addRow(Row{fleet, "catalogue in one value", d.catalogueBytes(), "bytes", l.ValueBytes, GrowthFlat, "internal/catalogue"})
}

// restarts adds the rows of the cost of restarting VMs to each other node.
func (d *derivation) restarts() {
	d.addRow(Row{"one restart", "processor time", d.restartCPU(), "s", 0, GrowthLinear, "internal/control"})
	bytes := d.recordsBytes() / eventSeconds
	d.addRow(Row{"one restart", "records to it on each of its links", bytes, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/control"})
	d.addRow(Row{"ordinary day", "processor time of changes and restarts", d.dayCPU(), "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.bulkRestarts("rack lost and back", float64(d.target.RackVMs))
	d.bulkRestarts("zone lost and back", d.target.ZoneVMs())
	// A VM of the zone receives all records on each link to another zone.
	zoneRecordsBytes := 2 * linksToOtherZones * d.recordsBytes() / eventSeconds
	d.addRow(Row{"zone lost and back", "records to each of its VMs", zoneRecordsBytes, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/control"})
	d.regions()
}

// bulkRestarts adds the rows of the cost of many concurrent restarts.
func (d *derivation) bulkRestarts(event string, vms float64) {
	m := &d.model
	cpu := vms * max(0, m.BulkRestartCPU.Value(d.vms()))
	messages := vms * m.BulkRestartMessages
	bytes := vms*m.BulkRestartBytes + messages*frameOverheadBytes
	d.addRow(Row{event, "processor time", cpu / eventSeconds, "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.addRow(Row{event, "control bytes with headers", bytes / eventSeconds, "bytes/s", d.limits.BytesPerSecond, GrowthLinear, "internal/peer"})
	// Half of the messages are incoming, spread over the links.
	d.addRow(Row{event, "messages on one link", messages / 2 / d.links(), "", linkBurst + linkRate*eventSeconds, GrowthLinear, "internal/peer"})
}

// regions adds the rows of a partition between two regions and its heal.
func (d *derivation) regions() {
	const event, regions = "regions part and heal", 2
	m := &d.model
	remoteZones := float64(d.target.Zones / regions)
	// Links within the zone remain; of the others, those to the remote region's
	// zones are lost.
	lostLinks := 2 * linksToOtherZones * remoteZones / float64(d.target.Zones-1)
	cpu := lostLinks * max(0, m.LostLinkCPU.Value(d.vms()))
	bytes := lostLinks * m.LostLinkBytes
	d.addRow(Row{event, "links lost", lostLinks, "", 0, GrowthFlat, "internal/control"})
	d.addRow(Row{event, "processor time", cpu / eventSeconds, "core", d.limits.CPU, GrowthLinear, "internal/control"})
	d.addRow(Row{event, "control bytes", bytes / eventSeconds, "bytes/s", d.limits.BytesPerSecond, GrowthFlat, "internal/peer"})
}

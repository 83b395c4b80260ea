package planning

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/pkg/errors"
)

func log2(x float64) float64 {
	return math.Log2(max(x, 1))
}

// WriteText writes the measured points, the fits and the values at the planned size
// as tables.
func (r *Report) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	t := &table{out: out}
	machine := r.Measurement.Machine
	t.row("Measured %s on %d cores with %s; load average %.1f before, %.1f after.\n",
		r.Measurement.StartedAt.Format("2006-01-02 15:04 MST"), machine.Cores, machine.Go, machine.LoadBefore, machine.LoadAfter)
	t.fleets(r.Measurement)
	t.events(r.Measurement)
	t.traffic(r.Measurement)
	t.slopes(&r.Model)
	t.rows(r)
	return errors.Wrap(out.Flush(), "write report")
}

// table writes rows. Write errors are returned by Flush of the underlying writer.
type table struct {
	out io.Writer
}

func (t *table) row(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...)
}

func (t *table) fleets(m *Measurement) {
	t.row("AT REST\tZONES\tLISTED\tSERVICES\tROLE\tOF\tLINKS\tCPU %%\tRSS MB\tMSG/S\tKB/S\tSTART S\tSTART READS/S\tREADS/S\tCHANGE S\tCHANGE KB\tZONE S\tPEAK READS/S\tBACK")
	for i := range m.Fleets {
		f := &m.Fleets[i]
		t.role("reader", &f.Reader, f.Nodes, f.Zones, f.Listed, f.Services)
		t.row("\t%.2f\t%d\t%.1f\t%.2f\t%.1f\t%.2f\t%d\t%d", f.StartSeconds, f.StartPeakReads, f.ReadsPerSecond,
			f.ChangeSeconds, f.ChangeBytes/1e3, f.ZoneSeconds, f.PeakReads, f.RevisionRegressions)
		t.role("idle", &f.Idle, f.Nodes, f.Zones, f.Listed, f.Services)
		t.row("")
	}
	for i := range m.EventCosts {
		e := &m.EventCosts[i]
		t.role("reader", &e.Reader, e.Nodes, e.Zones, e.Listed, e.Services)
		t.row("")
		t.role("idle", &e.Idle, e.Nodes, e.Zones, e.Listed, e.Services)
		t.row("")
	}
	t.row("")
}

func (t *table) role(name string, r *RoleCost, nodes, zones, listed, services int) {
	_, _ = fmt.Fprintf(t.out, "%d nodes\t%d\t%d\t%d\t%s\t%d\t%.1f\t%.2f\t%.1f\t%.1f\t%.2f",
		nodes, zones, listed, services, name, r.Nodes, r.Links, 100*r.CPU, r.MemoryBytes/1e6, r.Messages, r.Bytes/1e3)
}

func (t *table) events(m *Measurement) {
	t.row("COST TO A NODE\tNODES\tLISTED\tSERVICES\tCPU MS\tMSG\tKB\tOVER S\tNOTE")
	for i := range m.EventCosts {
		e := &m.EventCosts[i]
		t.cost(e, "change of the catalogue", e.CatalogueChange, "")
		t.cost(e, "change of the VM list", e.ListChange, "")
		t.cost(e, "leave of one VM", e.Leave, fmt.Sprintf("process ended in %.2f s", e.LeaveSeconds))
		t.cost(e, "join of one VM", e.Join, fmt.Sprintf("catalogue in force in %.2f s", e.JoinSeconds))
		t.cost(e, "restart of a zone", e.ZoneRestart, fmt.Sprintf("%d VMs; at most %d reads/s", e.ZoneVMs, e.ZonePeakReads))
		t.cost(e, "frozen zone", e.ZoneFreeze, fmt.Sprintf("at most %d reads/s", e.FreezePeakReads))
	}
	t.row("")
}

func (t *table) cost(e *EventCosts, name string, c Cost, note string) {
	t.row("%s\t%d\t%d\t%d\t%.2f\t%.1f\t%.2f\t%.1f\t%s", name, e.Nodes, e.Listed, e.Services,
		1e3*c.CPU, c.Messages, c.Bytes/1e3, c.Seconds, note)
}

func (t *table) traffic(m *Measurement) {
	t.row("CALLS\tCALLS/S\tFAILED\tSENDER CPU US\tRECEIVER CPU US\tSENDER RSS MB\tRECEIVER RSS MB\tADDED P50 US\tADDED P99 US")
	for _, c := range m.Traffic {
		t.row("%d nodes\t%.0f\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%d", c.Nodes, c.CallsPerSecond, c.Failed, 1e6*c.SenderCPU,
			1e6*c.ReceiverCPU, c.SenderMemoryBytes/1e6, c.ReceiverMemoryBytes/1e6, c.AddedP50Micros, c.AddedP99Micros)
	}
	t.row("")
}

func (t *table) slopes(m *Model) {
	t.row("SLOPES\tCONSTANT\tPER LINK\tPER VM\tPER SERVICE\tRESIDUAL\tWITH RUNNING NODES")
	rest := func(name string, s LinearFit, scale float64, g Growth) {
		t.row("%s\t%.4g\t%.4g\t%.4g\t%.4g\t%.2g\t%s", name, scale*s.Intercept, scale*s.Coefficients[0], scale*s.Coefficients[1], scale*s.Coefficients[2], scale*s.Residual, g)
	}
	rest("CPU % of an idle node", m.IdleCPU, 100, m.Growth.CPU)
	rest("CPU % of a reader", m.ReaderCPU, 100, m.Growth.CPU)
	t.row("RSS KB of an idle node\t%.4g\t-\t%.4g\t%.4g\t%.2g\t%s", m.IdleMemory.Intercept/1e3, m.IdleMemory.Coefficients[0]/1e3, m.IdleMemory.Coefficients[1]/1e3, m.IdleMemory.Residual/1e3, m.Growth.Memory)
	t.row("RSS KB of a reader\t%.4g\t-\t%.4g\t%.4g\t%.2g\t%s", m.ReaderMemory.Intercept/1e3, m.ReaderMemory.Coefficients[0]/1e3, m.ReaderMemory.Coefficients[1]/1e3, m.ReaderMemory.Residual/1e3, m.Growth.Memory)
	t.row("messages/s\t0\t%.4g\t\t\t\t%s", m.LinkMessages, m.Growth.Messages)
	t.row("payload bytes/s\t0\t%.4g\t\t\t\t%s", m.LinkBytes, m.Growth.Bytes)
	t.row("CPU ms of a catalogue change\t%.4g\t-\t%.4g\t%.4g\t%.2g", 1e3*m.ChangeCPU.Intercept, 1e3*m.ChangeCPU.Coefficients[0], 1e3*m.ChangeCPU.Coefficients[1], 1e3*m.ChangeCPU.Residual)
	perVM := func(name string, s LinearFit) {
		t.row("%s\t%.4g\t-\t%.4g\t-\t%.2g", name, 1e3*s.Intercept, 1e3*s.Coefficients[0], 1e3*s.Residual)
	}
	perVM("CPU ms of a VM list change", m.ListCPU)
	perVM("CPU ms of a stop and a start", m.RestartCPU)
	perVM("CPU ms of one of many restarts", m.BulkRestartCPU)
	perVM("CPU ms of a link lost and back", m.LostLinkCPU)
	t.row("CPU us of a call, both nodes\t%.4g", 1e6*m.CallCPU)
	t.row("change in force, s: %.3g + %.3g for each doubling (%s); peak reads/s of a start: %.3g + %.3g for each node (%s); reads/s of a zone: %.3g (%s)\n",
		m.ChangeSeconds.Intercept, m.ChangeSeconds.Coefficients[0], m.Growth.Change, m.StartReads.Intercept, m.StartReads.Coefficients[0], m.Growth.Start, m.ZoneReads, m.Growth.Reads)
}

func (t *table) rows(r *Report) {
	t.row("DERIVED: %d NODES, %d ZONES, %d SERVICES\tVALUE\tUNIT\tBOUND\tMARGIN\tMET\tGROWTH\tCARRIED BY", r.Target.Nodes, r.Target.Zones, r.Target.Services)
	for _, row := range r.Rows {
		bound, margin, met := "-", "-", "-"
		if row.Bound > 0 {
			bound, margin, met = fmt.Sprintf("%.4g", row.Bound), fmt.Sprintf("%.2g", row.Margin()), "no"
			if row.Met() {
				met = "yes"
			}
		}
		t.row("%s: %s\t%.4g\t%s\t%s\t%s\t%s\t%s\t%s", row.Subject, row.Quantity, row.Value, row.Unit, bound, margin, met, row.Growth, row.Component)
	}
	for _, row := range r.Missed() {
		t.row("Not met: %s: %s, %.2g times its bound", row.Subject, row.Quantity, ratio(row.Value, row.Bound))
	}
}

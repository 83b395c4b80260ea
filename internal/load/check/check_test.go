package check

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/load/deployment"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// onset is the wall clock of the cut in tests, in nanoseconds since 1970.
var onset = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixNano()

// run is a run in which a cut of bergen of 10 s went well: ten requests a
// second came to each availability zone, and all nodes took a change on time.
func run(t *testing.T) *PartitionRun {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	p := &PartitionRun{
		Catalogue: c, Deployment: d, Outcomes: map[string][]outcome.Outcome{},
		Load:       &experiment.Experiment{Phases: []experiment.Phase{{Rates: []experiment.Rate{{Route: "spare-part", PerSecond: 10}}}}},
		Partitions: []ZonePartition{{AvailabilityZone: "bergen", FromNs: onset, ToNs: onset + int64(10*time.Second)}},
		Revisions: &Revisions{
			byVM: map[string][]shown{},
		},
	}
	for _, zone := range d.AvailabilityZones {
		for i := range 150 {
			p.Outcomes[zone] = append(p.Outcomes[zone], outcome.Outcome{
				Request: fmt.Sprint(zone, i), Route: "spare-part", Idempotent: true, Result: outcome.Complete,
				EndWallNs: onset + int64(i)*int64(100*time.Millisecond) + int64(time.Second), LatencyNs: int64(time.Second),
			})
		}
	}
	for _, s := range d.Services {
		for _, vm := range s.VMs {
			at := 5 * time.Second
			if vm.AvailabilityZone == "bergen" {
				at = 11 * time.Second
			}
			p.Revisions.byVM[vm.Name] = []shown{{revision: 1}, {revision: 2, at: time.Unix(0, onset).Add(at)}}
		}
	}
	return p
}

func missed(rows []BoundResult) []string {
	var names []string
	for _, r := range rows {
		if !r.Met {
			names = append(names, r.Name)
		}
	}
	return names
}

func TestPartition(t *testing.T) {
	cases := []struct {
		desc   string
		change func(p *PartitionRun)
		want   []string // the figures that miss their bounds
	}{
		{"all well", func(*PartitionRun) {}, nil},
		{"a failure within the time limit of the onset", func(p *PartitionRun) { p.Outcomes["bergen"][14].Result = outcome.NoResponse }, nil},
		{
			"a failure later than that", func(p *PartitionRun) { p.Outcomes["stord"][16].Result = outcome.Refused },
			[]string{"bergen : side of [stord vestland-north], failed after one call timeout"},
		},
		{
			"one in ten fails at the onset", func(p *PartitionRun) {
				for i := range 10 {
					p.Outcomes["bergen"][i].Result = outcome.TimedOut
				}
			},
			[]string{"bergen : side of [bergen], goodput / ideal"},
		},
		{
			"a side's endpoints can give less", func(p *PartitionRun) {
				p.Load.Phases[0].Rates[0].PerSecond = 200 // its ten slots serve 100
				for i := range 48 {
					p.Outcomes["bergen"][i].Result = outcome.Refused
				}
				for _, zone := range []string{"stord", "vestland-north"} {
					p.Outcomes[zone][20].Result = outcome.Refused
				}
			},
			[]string{
				"bergen : side of [bergen], failed after one call timeout",
				"bergen : side of [stord vestland-north], failed after one call timeout",
			},
		},
		{
			"one node takes the change late", func(p *PartitionRun) {
				p.Revisions.byVM["stock-1"][1].at = time.Unix(0, onset).Add(13 * time.Second)
			},
			[]string{"bergen : after the heal, newest revision everywhere"},
		},
		{
			"one never does, and one goes back", func(p *PartitionRun) {
				p.Revisions.byVM["stock-1"] = p.Revisions.byVM["stock-1"][:1]
				p.Revisions.byVM["stock-2"] = append(p.Revisions.byVM["stock-2"], shown{revision: 1})
			},
			[]string{"bergen : after the heal, newest revision everywhere", "smaller revision shown"},
		},
		{
			"no change in the cut", func(p *PartitionRun) {
				for vm := range p.Revisions.byVM {
					p.Revisions.byVM[vm] = p.Revisions.byVM[vm][:1]
				}
			},
			[]string{"bergen : after the heal, newest revision everywhere"},
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			p := run(t)
			c.change(p)
			rows, err := p.Results()
			require.NoError(t, err)
			require.Equal(t, c.want, missed(rows))
			require.Equal(t, len(c.want), CountMissed(rows))
			var out bytes.Buffer
			require.NoError(t, WriteText(&out, rows))
			require.Equal(t, len(rows), bytes.Count(out.Bytes(), []byte("\n")))
		})
	}
}

func TestStops(t *testing.T) {
	const second = int64(time.Second)
	received := func(at int64) truth.Record {
		return truth.Record{Kind: truth.Received, VM: "stock-1", WallNs: onset + at}
	}
	s := &Stops{
		Stops:       []PlannedStop{{Name: "stock-1-endpoint", AtNs: onset, EndNs: onset + 4*second}},
		Outcomes:    []outcome.Outcome{{Result: outcome.Complete}},
		EndpointLog: []truth.Record{received(second), received(5 * second)},
	}
	require.Equal(t, []string{"VMs without calls in the 2 s before"}, missed(s.Results()), "nothing was shown")
	s.EndpointLog = append(s.EndpointLog, received(-second))
	require.Empty(t, missed(s.Results()))
	s.Stops[0].Code = 1
	s.Outcomes[0].Result = outcome.Refused
	s.EndpointLog = append(s.EndpointLog, received(3*second), truth.Record{Kind: truth.Started, VM: "stock-1"})
	require.Equal(t, []string{
		"exit code other than 0", "requests without a whole answer", "calls cut off at endpoints",
		"new calls later than 2 s after the start of leaving",
	}, missed(s.Results()))
}

func TestDrill(t *testing.T) {
	p := run(t)
	d := &PlatformFailureRun{
		Deployment: p.Deployment, Revisions: p.Revisions, Outcomes: []outcome.Outcome{{Result: outcome.Complete}},
		Steps: []Step{
			{Name: "edit", AtNs: onset, ExpectsNewRevision: true},
			{Name: "down", AtNs: onset + int64(12*time.Second)},
		},
	}
	require.Empty(t, missed(d.Results()))
	p.Revisions.byVM["stock-1"] = append(p.Revisions.byVM["stock-1"], shown{revision: 3, at: time.Unix(0, onset).Add(13 * time.Second)})
	require.Equal(t, []string{"down: newer revisions shown"}, missed(d.Results()))
	d.Steps[1].ExpectsNewRevision = true
	require.Equal(t, []string{"down: in force everywhere"}, missed(d.Results()), "one node alone has the newest")
	p.Revisions.byVM["stock-1"][1].at = time.Unix(0, onset).Add(17 * time.Second)
	d.Steps = d.Steps[:1]
	require.Equal(t, []string{"edit: in force everywhere"}, missed(d.Results()))
}

func TestReadRevisions(t *testing.T) {
	file := filepath.Join(t.TempDir(), "stock-1-node.jsonl")
	line := `{"time":"2026-01-02T03:04:05Z","process":"node","vm":"stock-1","event":%d,"revision":%d}` + "\n"
	text := fmt.Sprintf(line, event.CatalogueInForce, 7) + fmt.Sprintf(line, event.NodeStarted, 9) + fmt.Sprintf(line, event.CatalogueInForce, 6)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	r, err := ReadRevisions(file)
	require.NoError(t, err)
	require.Equal(t, 1, r.CountRegressions())
	require.Equal(t, uint64(7), r.newest(time.Now()))
}

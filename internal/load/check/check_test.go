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

// partitionStart is the start of the partition in tests, in nanoseconds since 1970.
var partitionStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC).UnixNano()

// successfulRun returns a run with a partition of bergen of 10 s that meets all
// bounds: ten requests a second arrive in each availability zone, and all nodes
// apply a change on time.
func successfulRun(t *testing.T) *PartitionRun {
	t.Helper()
	c, err := catalogue.ReadFile("../../../examples/dorvakt/catalogue.json")
	require.NoError(t, err)
	d, err := deployment.ReadFile("../../../examples/dorvakt/deployment.json")
	require.NoError(t, err)
	p := &PartitionRun{
		Catalogue: c, Deployment: d, Outcomes: map[string][]outcome.Outcome{},
		Load:       &experiment.Experiment{Phases: []experiment.Phase{{Rates: []experiment.Rate{{Route: "spare-part", PerSecond: 10}}}}},
		Partitions: []ZonePartition{{AvailabilityZone: "bergen", FromNs: partitionStart, ToNs: partitionStart + int64(10*time.Second)}},
		Revisions: &Revisions{
			byVM: map[string][]revisionEvent{},
		},
	}
	for _, zone := range d.AvailabilityZones {
		for i := range 150 {
			p.Outcomes[zone] = append(p.Outcomes[zone], outcome.Outcome{
				Request: fmt.Sprint(zone, i), Route: "spare-part", Idempotent: true, Result: outcome.Complete,
				EndWallNs: partitionStart + int64(i)*int64(100*time.Millisecond) + int64(time.Second), LatencyNs: int64(time.Second),
			})
		}
	}
	for _, s := range d.Services {
		for _, vm := range s.VMs {
			at := 5 * time.Second
			if vm.AvailabilityZone == "bergen" {
				at = 11 * time.Second
			}
			p.Revisions.byVM[vm.Name] = []revisionEvent{{revision: 1}, {revision: 2, at: time.Unix(0, partitionStart).Add(at)}}
		}
	}
	return p
}

func missedNames(results []BoundResult) []string {
	var names []string
	for _, r := range results {
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
		want   []string // names of the figures that miss their bounds
	}{
		{"all bounds met", func(*PartitionRun) {}, nil},
		{"a failure within the timeout after the start", func(p *PartitionRun) { p.Outcomes["bergen"][14].Result = outcome.NoResponse }, nil},
		{
			"a failure later than that", func(p *PartitionRun) { p.Outcomes["stord"][16].Result = outcome.Refused },
			[]string{"bergen : side of [stord vestland-north], failed after one call timeout"},
		},
		{
			"one in ten fails at the start", func(p *PartitionRun) {
				for i := range 10 {
					p.Outcomes["bergen"][i].Result = outcome.TimedOut
				}
			},
			[]string{"bergen : side of [bergen], goodput / ideal"},
		},
		{
			"the capacity of a side is below its load", func(p *PartitionRun) {
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
			"one node applies the change late", func(p *PartitionRun) {
				p.Revisions.byVM["stock-1"][1].at = time.Unix(0, partitionStart).Add(13 * time.Second)
			},
			[]string{"bergen : after the heal, newest revision everywhere"},
		},
		{
			"one node never does, and one reverts", func(p *PartitionRun) {
				p.Revisions.byVM["stock-1"] = p.Revisions.byVM["stock-1"][:1]
				p.Revisions.byVM["stock-2"] = append(p.Revisions.byVM["stock-2"], revisionEvent{revision: 1})
			},
			[]string{"bergen : after the heal, newest revision everywhere", "smaller revision shown"},
		},
		{
			"no change during the partition", func(p *PartitionRun) {
				for vm := range p.Revisions.byVM {
					p.Revisions.byVM[vm] = p.Revisions.byVM[vm][:1]
				}
			},
			[]string{"bergen : after the heal, newest revision everywhere"},
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			p := successfulRun(t)
			c.change(p)
			results, err := p.Results()
			require.NoError(t, err)
			require.Equal(t, c.want, missedNames(results))
			require.Equal(t, len(c.want), CountMissed(results))
			var out bytes.Buffer
			require.NoError(t, WriteText(&out, results))
			require.Equal(t, len(results), bytes.Count(out.Bytes(), []byte("\n")))
		})
	}
}

func TestStops(t *testing.T) {
	const second = int64(time.Second)
	received := func(at int64) truth.Record {
		return truth.Record{Kind: truth.Received, VM: "stock-1", WallNs: partitionStart + at}
	}
	s := &Stops{
		Stops:       []PlannedStop{{Name: "stock-1-endpoint", AtNs: partitionStart, EndNs: partitionStart + 4*second}},
		Outcomes:    []outcome.Outcome{{Result: outcome.Complete}},
		EndpointLog: []truth.Record{received(second), received(5 * second)},
	}
	require.Equal(t, []string{"VMs without calls in the 2 s before"}, missedNames(s.Results()), "no call before the stop")
	s.EndpointLog = append(s.EndpointLog, received(-second))
	require.Empty(t, missedNames(s.Results()))
	s.Stops[0].Code = 1
	s.Outcomes[0].Result = outcome.Refused
	s.EndpointLog = append(s.EndpointLog, received(3*second), truth.Record{Kind: truth.Started, VM: "stock-1"})
	require.Equal(t, []string{
		"exit code other than 0", "requests without a whole answer", "calls cut off at endpoints",
		"new calls later than 2 s after the start of leaving",
	}, missedNames(s.Results()))
}

func TestPlatformFailureRun(t *testing.T) {
	p := successfulRun(t)
	d := &PlatformFailureRun{
		Deployment: p.Deployment, Revisions: p.Revisions, Outcomes: []outcome.Outcome{{Result: outcome.Complete}},
		Steps: []Step{
			{Name: "edit", AtNs: partitionStart, ExpectsNewRevision: true},
			{Name: "down", AtNs: partitionStart + int64(12*time.Second)},
		},
	}
	require.Empty(t, missedNames(d.Results()))
	p.Revisions.byVM["stock-1"] = append(p.Revisions.byVM["stock-1"], revisionEvent{revision: 3, at: time.Unix(0, partitionStart).Add(13 * time.Second)})
	require.Equal(t, []string{"down: newer revisions shown"}, missedNames(d.Results()))
	d.Steps[1].ExpectsNewRevision = true
	require.Equal(t, []string{"down: in force everywhere"}, missedNames(d.Results()), "only one node has the newest revision")
	p.Revisions.byVM["stock-1"][1].at = time.Unix(0, partitionStart).Add(17 * time.Second)
	d.Steps = d.Steps[:1]
	require.Equal(t, []string{"edit: in force everywhere"}, missedNames(d.Results()))
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

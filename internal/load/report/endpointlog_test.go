package report

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

func newRecord(kind truth.Kind, request, position string) truth.Record {
	return truth.Record{Kind: kind, Request: request, Position: position, Method: "POST", Path: "/p" + position}
}

func finished(request, position string, wall, run time.Duration) truth.Record {
	r := newRecord(truth.Finished, request, position)
	r.WallNs, r.RunMs = int64(wall), float64(run.Milliseconds())
	return r
}

func reported(request string, idempotent bool, result outcome.Result, ran string, end time.Duration) outcome.Outcome {
	return outcome.Outcome{Request: request, Idempotent: idempotent, Result: result, Ran: ran, EndWallNs: int64(end)}
}

func TestEndpointLogSummary(t *testing.T) {
	booking := func(ran string) []outcome.Outcome {
		return []outcome.Outcome{reported("b", false, outcome.Complete, ran, time.Second)}
	}
	cases := []struct {
		desc     string
		records  []truth.Record
		reported []outcome.Outcome
		want     EndpointLogSummary
	}{
		{
			"one clean run",
			[]truth.Record{newRecord(truth.Received, "b", ""), newRecord(truth.Started, "b", "")},
			booking("yes"),
			EndpointLogSummary{Requests: 1, Starts: 1},
		},
		{"refused by one endpoint, run by another", []truth.Record{
			newRecord(truth.Received, "b", ""), newRecord(truth.Refused, "b", ""), newRecord(truth.Received, "b", ""), newRecord(truth.Started, "b", ""),
		}, booking("yes"), EndpointLogSummary{Requests: 1, Starts: 1, ExtraAttempts: 1, MaxExtraAttempts: 1}},
		{"run twice", []truth.Record{
			newRecord(truth.Received, "b", "0"), newRecord(truth.Started, "b", "0"), newRecord(truth.Received, "b", "0"), newRecord(truth.Started, "b", "0"),
		}, booking("yes"), EndpointLogSummary{Requests: 1, Starts: 2, ExtraAttempts: 1, MaxExtraAttempts: 1, DuplicateRuns: 1}},
		{
			"a lookup may run twice",
			[]truth.Record{newRecord(truth.Started, "b", ""), newRecord(truth.Started, "b", "")},
			[]outcome.Outcome{reported("b", true, outcome.Complete, "no", 0)},
			EndpointLogSummary{Starts: 2},
		},
		{"two positions of one tree are not a repeat", []truth.Record{
			newRecord(truth.Received, "b", "0"), newRecord(truth.Started, "b", "0"), newRecord(truth.Received, "b", "1"), newRecord(truth.Started, "b", "1"),
		}, booking("yes"), EndpointLogSummary{Requests: 1, Starts: 2}},
		{"told not run, but run", []truth.Record{newRecord(truth.Started, "b", "")}, booking("no"), EndpointLogSummary{Starts: 1, WrongNotRun: 1}},
		{"told unknown, and run", []truth.Record{newRecord(truth.Started, "b", "")}, booking("unknown"), EndpointLogSummary{Starts: 1}},
		{"told not run, and refused", []truth.Record{newRecord(truth.Received, "b", ""), newRecord(truth.Refused, "b", "")}, booking("no"), EndpointLogSummary{Requests: 1}},
		{"an unknown request", []truth.Record{newRecord(truth.Received, "z", ""), newRecord(truth.Started, "z", "")}, booking("no"), EndpointLogSummary{}},
		{
			"wasted time",
			[]truth.Record{
				finished("b", "", time.Second, 300*time.Millisecond),
				finished("l", "", 2*time.Second, 100*time.Millisecond),
			},
			append(booking("yes"), reported("l", true, outcome.TimedOut, "unknown", 1950*time.Millisecond)),
			EndpointLogSummary{EndpointMs: 400, WastedShare: 0.25, WastedAfterEndShare: 0.125},
		},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			got := NewEndpointLogSummary(c.records, c.reported)
			require.Len(t, got.Examples, c.want.DuplicateRuns+c.want.WrongNotRun)
			var out bytes.Buffer
			require.NoError(t, got.WriteText(&out))
			for _, example := range got.Examples {
				require.Contains(t, out.String(), example)
			}
			got.Examples, got.CallerKnowledge = nil, CallerKnowledge{}
			require.Equal(t, &c.want, got)
		})
	}
}

func TestCallerKnowledge(t *testing.T) {
	got := NewEndpointLogSummary(nil, []outcome.Outcome{
		reported("a", false, outcome.Complete, "yes", 0), reported("b", false, outcome.Refused, "no", 0),
		reported("c", false, outcome.Failed, "yes", 0), reported("d", false, outcome.TimedOut, "unknown", 0),
		reported("e", false, outcome.TimedOut, "unknown", 0), reported("f", true, outcome.TimedOut, "unknown", 0),
	}).CallerKnowledge
	require.Equal(t, CallerKnowledge{Requests: 5, Complete: 1, NotRun: 1, Run: 1, Unknown: 2}, got)
	require.Equal(t, "2 (0.4000)", got.share(got.Unknown))
}

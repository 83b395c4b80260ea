package metrics

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/galenacart/galenacart/internal/docpage"
	"github.com/galenacart/galenacart/internal/problem"
)

func exposition(t *testing.T, s *Set) string {
	t.Helper()
	var out bytes.Buffer
	require.NoError(t, WriteText(&out, s.Registry()))
	return out.String()
}

func TestTextFormat(t *testing.T) {
	s := NewSet()
	s.RecordCall(RolePeer, 1500*time.Millisecond)
	s.RecordRefusal(problem.KindTimeout)
	s.RecordRefusal(problem.KindNone)
	s.RecordRetry()
	s.RegisterGauge(NameQueued, func() int64 { return 3 })
	out := exposition(t, s)
	for _, line := range []string{
		`galenacart_calls_total{role="peer"} 1`,
		`galenacart_calls_total{role="caller"} 0`,
		`galenacart_call_seconds{role="peer",quantile="0.99"} 1.5`,
		`galenacart_call_seconds_count{role="peer"} 1`,
		`galenacart_call_seconds{role="caller",quantile="0.99"} NaN`,
		`galenacart_refusals_total{kind="timeout"} 1`,
		`galenacart_retries_total 1`,
		`galenacart_queued_calls 3`,
		`# TYPE galenacart_call_seconds summary`,
		`# TYPE galenacart_queued_calls gauge`,
	} {
		require.Contains(t, out, line+"\n")
	}
}

func TestEachLineIsWellFormed(t *testing.T) {
	sample := regexp.MustCompile(`^[a-z_]+(\{[a-z]+="[^"]*"(,[a-z]+="[^"]*")*\})? ([0-9.e+-]+|NaN)$`)
	heads := map[string]bool{}
	for line := range strings.Lines(exposition(t, NewSet())) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "# ") {
			require.False(t, heads[line], "written twice: %s", line)
			heads[line] = true
			continue
		}
		require.Regexp(t, sample, line)
	}
}

func TestDottedNamesAreConverted(t *testing.T) {
	s := NewSet()
	gometrics.GetOrRegisterCounter("control.platform_reads", s.Registry()).Inc(2)
	out := exposition(t, s)
	require.Contains(t, out, "# TYPE galenacart_control_platform_reads_total counter\ngalenacart_control_platform_reads_total 2\n")
}

func TestPageAgreesWithDefinitions(t *testing.T) {
	var b strings.Builder
	b.WriteString("| Name | Type | Unit | Meaning |\n|---|---|---|---|\n")
	for _, d := range Definitions() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.Name, d.Type, d.Unit, d.Help)
	}
	docpage.Section(t, "../../docs/OPERATIONS.md", "metrics", b.String())
}

func TestDefinitions(t *testing.T) {
	seen := map[string]bool{}
	for _, d := range Definitions() {
		require.False(t, seen[d.Name], d.Name)
		seen[d.Name] = true
		require.Equal(t, d.Type == Counter, strings.HasSuffix(d.Name, "_total"), d.Name)
		require.NotEmpty(t, d.Unit)
		require.NotEmpty(t, d.Help)
	}
}

func TestRoutesAndEndpointsAreCountedSeparately(t *testing.T) {
	s := NewSet()
	s.RecordRequest("r-1", OutcomeServed, 200*time.Millisecond)
	s.RecordRequest("r-1", OutcomeRefused, time.Millisecond)
	s.RecordAttempt("e \"1\"", OutcomeUnknown, time.Second)
	out := exposition(t, s)
	for _, line := range []string{
		`galenacart_requests_total{route="r-1",outcome="served"} 1`,
		`galenacart_requests_total{route="r-1",outcome="refused"} 1`,
		`galenacart_requests_total{route="r-1",outcome="failed"} 0`,
		`galenacart_request_seconds_count{route="r-1"} 2`,
		`galenacart_attempts_total{endpoint="e \"1\"",outcome="unknown"} 1`,
		`galenacart_attempt_seconds{endpoint="e \"1\"",quantile="0.5"} 1`,
	} {
		require.Contains(t, out, line+"\n")
	}
	s.Retain(map[string]bool{"r-1": true}, nil)
	out = exposition(t, s)
	require.Contains(t, out, `route="r-1"`)
	require.NotContains(t, out, "endpoint=")
}

func TestMembersAreBounded(t *testing.T) {
	s := NewSet()
	for i := range 3 * familyMembersMax {
		s.RecordRequest(fmt.Sprint("r-", i), OutcomeServed, 0)
	}
	out := exposition(t, s)
	require.Equal(t, familyMembersMax+1, strings.Count(out, "galenacart_request_seconds_count"))
	require.Contains(t, out, fmt.Sprintf("galenacart_request_seconds_count{route=%q} %d\n", memberOther, 2*familyMembersMax))
	s.Retain(nil, nil)
	s.RecordRequest("r-new", OutcomeServed, 0)
	require.Contains(t, exposition(t, s), `route="r-new"`)
}

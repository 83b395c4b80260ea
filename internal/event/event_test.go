package event

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/docpage"
)

func page() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every process writes its events as JSON lines to standard error; a node also keeps\n")
	b.WriteString("the newest ones at `/events` of its status address. A number never changes its\n")
	b.WriteString("meaning and is never used again. This page is printed by the test of\n")
	b.WriteString("`internal/event`.\n\n")
	b.WriteString("Keys of every line: `time` (wall time, UTC, microseconds), `clock` (logical time),\n")
	b.WriteString("`event`, `name`, `level`, `process`, `vm`; `correlation` where the event belongs to a\n")
	b.WriteString("request; `suppressed` when lines of the same number were held back by the rate limit\n")
	b.WriteString("since the one before. Numbers marked *exact* are never held back.\n")
	for _, a := range areas() {
		fmt.Fprintf(&b, "\n## %s (%d to %d)\n\n", a.title, a.first, a.first+areaSize-1)
		if len(a.definitions) == 0 {
			b.WriteString("None yet.\n")
			continue
		}
		b.WriteString("| Number | Name | Level | Meaning |\n|---|---|---|---|\n")
		for _, d := range a.definitions {
			exact := ""
			if d.RateLimitExempt {
				exact = " *exact*"
			}
			fmt.Fprintf(&b, "| %d%s | `%s` | %s | %s |\n", d.Number, exact, d.Name, d.Level, d.Meaning)
		}
	}
	return b.String()
}

func TestPageAgreesWithCode(t *testing.T) {
	docpage.Equal(t, "../../docs/EVENTS.md", page())
}

func TestDefinitions(t *testing.T) {
	numbers := map[Number]bool{}
	names := map[string]bool{}
	for _, a := range areas() {
		for _, d := range a.definitions {
			require.False(t, numbers[d.Number], "number %d is used twice", d.Number)
			require.False(t, names[d.Name], "name %s is used twice", d.Name)
			require.Truef(t, d.Number >= a.first && d.Number < a.first+areaSize, "%d is outside %s", d.Number, a.title)
			require.Regexp(t, `^[a-z0-9_]+$`, d.Name)
			require.NotEmpty(t, d.Meaning, d.Name)
			require.NotContains(t, d.Meaning, "|", "the page is a table")
			numbers[d.Number], names[d.Name] = true, true
		}
	}
}

// testLog returns a log that knows three numbers of its own.
func testLog(out *bytes.Buffer) *Log {
	l := NewLog(out, "node", "vm-1", zerolog.InfoLevel)
	for _, d := range []Definition{
		{Number: 9001, Name: "seen", Level: zerolog.InfoLevel},
		{Number: 9002, Name: "detail", Level: zerolog.DebugLevel},
		{Number: 9003, Name: "ground_truth", Level: zerolog.InfoLevel, RateLimitExempt: true},
	} {
		l.numbers[d.Number] = &number{definition: d, enabled: d.Level >= zerolog.InfoLevel}
	}
	return l
}

func lines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var all []map[string]any
	for line := range strings.Lines(out.String()) {
		one := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(line), &one))
		all = append(all, one)
	}
	return all
}

func TestEmitWritesOneLine(t *testing.T) {
	var out bytes.Buffer
	l := testLog(&out)
	l.Clock().Observe(41)
	l.Emit(9001, "c-1", F("took", 1500*time.Microsecond), F("cause", errors.New("cut")), F("count", 3), F("odd", []int{1}))
	l.Emit(9002, "c-1")
	l.Emit(1, "c-1")
	got := lines(t, &out)
	require.Len(t, got, 1)
	require.Regexp(t, `^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z$`, got[0][KeyTime])
	delete(got[0], KeyTime)
	require.Equal(t, map[string]any{
		"level": "info", "process": "node", "vm": "vm-1", "clock": 42.0, "event": 9001.0, "name": "seen",
		"correlation": "c-1", "took": "1.5ms", "cause": "cut", "count": 3.0, "odd": []any{1.0},
	}, got[0])
}

func TestLongTextsAreCut(t *testing.T) {
	var out bytes.Buffer
	l := testLog(&out)
	long := strings.Repeat("é", 3000)
	l.Emit(9001, "", F("cause", errors.New(long)), F("detail", long))
	got := lines(t, &out)[0]
	require.Equal(t, strings.Repeat("é", maxFieldBytes/2)+"…", got["cause"])
	require.Equal(t, got["cause"], got["detail"])
	require.Less(t, out.Len(), maxLineBytes)
}

func TestDisabledLevelCostsNothing(t *testing.T) {
	var out bytes.Buffer
	l := testLog(&out)
	require.True(t, l.Enabled(9001))
	require.False(t, l.Enabled(9002))
	require.Zero(t, testing.AllocsPerRun(100, func() { l.Emit(9002, "c-1") }))
	require.Equal(t, uint64(1), l.Clock().Tick(), "a disabled event takes no logical time")
}

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := testLog(&out).LimitRate(3)
		for range 10 {
			l.Emit(9001, "")
			l.Emit(9003, "")
		}
		require.Equal(t, 3, strings.Count(out.String(), "seen"))
		require.Equal(t, 10, strings.Count(out.String(), "ground_truth"))
		time.Sleep(time.Second)
		out.Reset()
		l.Emit(9001, "")
		l.Emit(9001, "")
		got := lines(t, &out)
		require.Equal(t, 7.0, got[0][KeySuppressed])
		require.NotContains(t, got[1], KeySuppressed)
	})
}

// TestLinesAreBoundedAndAccountedFor plays ten times the events that a busy node
// has, of every kind, and a second look at what was held back each second.
func TestLinesAreBoundedAndAccountedFor(t *testing.T) {
	const (
		perSecond = 50
		emitted   = 10 * perSecond // of each kind in each second
		seconds   = 5
	)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := NewLog(&out, "node", "vm-1", zerolog.InfoLevel).LimitRate(perSecond)
		kinds := []Number{CallRefused, OutboundCallRefused, OutboundCallFailed, EndpointFailed}
		told := make(map[int]int)
		for range seconds {
			for range emitted {
				for _, n := range kinds {
					l.Emit(n, "c-1")
				}
			}
			time.Sleep(time.Second)
			l.ReportDroppedLines()
			got := lines(t, &out)
			require.LessOrEqual(t, len(got), (perSecond+1)*len(kinds))
			for _, line := range got {
				number := int(line[KeyEvent].(float64))
				if number == int(LinesSuppressed) {
					told[int(line["of"].(float64))] += int(line["count"].(float64))
					continue
				}
				told[number]++
				if held, ok := line[KeySuppressed]; ok {
					told[number] += int(held.(float64))
				}
			}
			out.Reset()
		}
		for _, n := range kinds {
			require.Equal(t, seconds*emitted, told[int(n)], "event %d", n)
		}
	})
}

func TestLinesThatTheOutputLostAreTold(t *testing.T) {
	var out bytes.Buffer
	l := NewLog(&out, "node", "vm-1", zerolog.InfoLevel)
	l.ReportDroppedLines()
	require.Zero(t, out.Len())
	l.RecordLostLines(3)
	l.RecordLostLines(4)
	l.ReportDroppedLines()
	l.ReportDroppedLines()
	got := lines(t, &out)
	require.Len(t, got, 1)
	require.Equal(t, 7.0, got[0]["count"])
}

func TestClockNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Clock{}
		last := uint64(0)
		for _, received := range rapid.SliceOf(rapid.Uint64Max(1000)).Draw(t, "received") {
			c.Observe(received)
			now := c.Tick()
			require.Greater(t, now, last)
			require.Greater(t, now, received)
			last = now
		}
	})
}

func TestRingKeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(t, "size")
		count := rapid.IntRange(0, 30).Draw(t, "count")
		after := rapid.IntRange(0, 30).Draw(t, "after")
		r := NewRing(size)
		want := ""
		for i := 1; i <= count; i++ {
			line := fmt.Sprintf("{\"clock\":%d}\n", i)
			_, err := r.Write([]byte(line))
			require.NoError(t, err)
			if i > after && i > count-size {
				want += line
			}
		}
		require.Equal(t, want, string(r.Select(uint64(after), "")))
	})
}

func TestRingLeavesOutWhatIsNoEvent(t *testing.T) {
	r := NewRing(4)
	for _, line := range []string{"not JSON\n", `{"clock":1,"x":"` + strings.Repeat("y", maxLineBytes) + "\"}\n", "{\"clock\":2}\n"} {
		n, err := r.Write([]byte(line))
		require.NoError(t, err)
		require.Len(t, line, n)
	}
	require.Equal(t, "{\"clock\":2}\n", string(r.Select(0, "")))
}

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func TestAsyncWriterNeverBlocks(t *testing.T) {
	sink := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(sink, func(int) {})
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(sink.release)
	require.NoError(t, w.Close())
	sink.mu.Lock()
	defer sink.mu.Unlock()
	require.Equal(t, 100, strings.Count(sink.out.String(), "line"))
}

func BenchmarkEmit(b *testing.B) {
	var out bytes.Buffer
	l := testLog(&out).LimitRate(1)
	b.ReportAllocs()
	for b.Loop() {
		l.Emit(9001, "c-1", F("kind", "overloaded"))
	}
}

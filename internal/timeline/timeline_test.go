package timeline

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenacart/galenacart/internal/event"
)

func logLine(clock uint64, second int, vm string, number int, more string) string {
	at := time.Date(2026, 1, 2, 3, 4, second, 0, time.UTC).Format(event.TimeFormat)
	return fmt.Sprintf(`{"level":"info","process":"node","vm":%q,"time":%q,"clock":%d,"event":%d,"name":"n%d"%s}`+"\n", vm, at, clock, number, number, more)
}

func parse(t require.TestingT, log string) *Log {
	l, err := Parse(strings.NewReader(log))
	require.NoError(t, err)
	return l
}

func TestParse(t *testing.T) {
	l := parse(t, logLine(7, 1, "vm-1", 1001, `,"correlation":"c-1","took":"3ms","count":2,"list":["a"]`)+
		"panic: no event\n\n{}\n"+strings.Repeat("x", 2*maxLineBytes)+"\n"+
		strings.TrimSuffix(logLine(8, 1, "vm-1", 1002, ""), "\n"))
	require.Len(t, l.Events, 2)
	require.Equal(t, 3, l.Skipped)
	e := l.Events[0]
	require.Equal(t, uint64(7), e.Clock)
	require.Equal(t, "vm-1 node", e.ProcessName())
	require.Equal(t, "c-1", e.Correlation)
	require.Equal(t, `count=2 list=["a"] took=3ms`, e.Details())
}

func TestParseReadsLogOutput(t *testing.T) {
	var out bytes.Buffer
	log := event.NewLog(&out, "node", "vm-1", zerolog.InfoLevel)
	definitions := event.Definitions()
	for _, d := range definitions {
		log.Emit(d.Number, "c", event.F("key", "value"))
	}
	l := parse(t, out.String())
	require.Zero(t, l.Skipped)
	for _, e := range l.Events {
		require.Equal(t, []Field{{"key", "value"}}, e.Fields)
	}
}

func TestMergeOrdersCausesBeforeEffects(t *testing.T) {
	sender := parse(t, logLine(5, 30, "a", 1001, ""))   // its wall clock is 20 s ahead
	receiver := parse(t, logLine(6, 10, "b", 1002, "")) // received a message from a
	standin := parse(t, logLine(1, 40, "c", 4001, "")+logLine(2, 20, "c", 4002, ""))
	var names []string
	for _, e := range Merge(receiver, standin, sender) {
		names = append(names, e.Name)
	}
	require.Equal(t, []string{"n4002", "n1001", "n1002", "n4001"}, names)
}

// TestMergePreservesHappenedBefore simulates processes with skewed wall clocks that
// send each other messages, and checks that every cause precedes its effects.
func TestMergePreservesHappenedBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		clocks := [processes]event.Clock{}
		skew := [processes]int{}
		for i := range skew {
			skew[i] = rapid.IntRange(0, 30).Draw(t, "skew")
		}
		logs := [processes]string{}
		known := [processes]map[string]bool{} // the events that happened before the current state of each process
		before := map[string]map[string]bool{}
		for i := range known {
			known[i] = map[string]bool{}
		}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			from := rapid.IntRange(0, processes-1).Draw(t, "from")
			clocks[p].Observe(clocks[from].Tick())
			for id := range known[from] {
				known[p][id] = true
			}
			id := fmt.Sprintf("e%d", step)
			logs[p] += logLine(clocks[p].Tick(), (step+skew[p])%60, fmt.Sprint(p), 1001, fmt.Sprintf(`,"id":%q`, id))
			before[id] = map[string]bool{}
			for cause := range known[p] {
				before[id][cause] = true
			}
			known[p][id] = true
		}
		seen := map[string]bool{}
		for _, e := range Merge(parse(t, logs[0]), parse(t, logs[1]), parse(t, logs[2])) {
			id := e.Fields[0].Value
			for cause := range before[id] {
				require.True(t, seen[cause], "%s precedes its cause %s", id, cause)
			}
			seen[id] = true
		}
		require.Len(t, seen, len(before))
	})
}

func TestFilter(t *testing.T) {
	events := Merge(parse(t, logLine(1, 1, "a", 1001, `,"correlation":"x"`)+logLine(2, 1, "a", 1002, "")))
	require.Len(t, Filter(events, "x"), 1)
	require.Empty(t, Filter(events, "y"))
}

func TestText(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, WriteText(&out, Merge(parse(t, logLine(12, 1, "vm-1", 1001, `,"kind":"timeout"`)))))
	require.Regexp(t, `12 +03:04:01\.000 +vm-1 node +1001 n1001 +- +kind=timeout\n`, out.String())
}

func TestPageIsSelfContained(t *testing.T) {
	log := parse(t, logLine(1, 1, "a", 1001, "")+logLine(2, 1, "b", 1002, `,"correlation":"x","bad":"</td><script>alert(1)</script>"`)+logLine(3, 1, "c", 1003, ""))
	var out bytes.Buffer
	require.NoError(t, WriteHTML(&out, Merge(log), HTMLOptions{MaxEvents: 2, Correlation: "x"}))
	html := out.String()
	require.Equal(t, 2, strings.Count(html, `<tr class="info"`))
	require.Contains(t, html, "1 older events are omitted")
	require.Contains(t, html, `value="x"`)
	require.NotContains(t, html, "<script>alert")
	require.NotRegexp(t, regexp.MustCompile(`(?i)\b(src|href)=|https?://|@import|url\(`), html)
	require.NotContains(t, html, "ZgotmplZ", "the template rejected a value")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(logLine(1, 1, "a", 1001, "")))
	f.Add([]byte("{\"event\":1}\n{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Parse(bytes.NewReader(data))
		require.NoError(t, err)
		require.NoError(t, WriteHTML(&bytes.Buffer{}, Merge(l), HTMLOptions{}))
	})
}

package truth

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// lineWriter records the argument of each Write call.
type lineWriter struct {
	writes []string
}

func (w *lineWriter) Write(b []byte) (int, error) {
	w.writes = append(w.writes, string(b))
	return len(b), nil
}

func TestLogWritesEachRecordWithOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lineWriter{}
		start := time.Now()
		l := NewLog(out, "vm-1", "stock")
		time.Sleep(time.Second)
		l.Add(Record{Kind: Started, Request: "r1"})
		l.Add(Record{Kind: Finished, Request: "r1", RunMs: 2.5})
		require.NoError(t, l.Err())
		require.Len(t, out.writes, 2)

		records, err := Read(strings.NewReader(strings.Join(out.writes, "")))
		require.NoError(t, err)
		want := Record{
			Kind:        Started,
			WallNs:      start.Add(time.Second).UnixNano(),
			MonotonicNs: int64(time.Second),
			VM:          "vm-1",
			Incarnation: start.UnixNano(),
			Service:     "stock",
			Request:     "r1",
		}
		require.Equal(t, want, records[0])
		require.Equal(t, 2500*time.Microsecond, records[1].Run())
	})
}

func TestReadIgnoresTruncatedLastLine(t *testing.T) {
	complete := `{"kind":"started","request":"r1"}` + "\n"
	tests := []struct {
		desc  string
		text  string
		count int
		fails bool
	}{
		{desc: "empty", text: ""},
		{desc: "complete lines", text: complete + complete, count: 2},
		{desc: "truncated last line", text: complete + `{"kind":"fin`, count: 1},
		{desc: "truncated line in the middle", text: `{"kind":"fin` + "\n" + complete, fails: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			records, err := Read(strings.NewReader(test.text))
			require.Equal(t, test.fails, err != nil)
			require.Len(t, records, test.count)
		})
	}
}

func TestReadFilesOrdersByWallClock(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, wall := range map[string]string{"a": "20", "b": "10"} {
		file := filepath.Join(dir, name)
		f, err := OpenFile(file)
		require.NoError(t, err)
		_, err = f.WriteString(`{"kind":"up","vm":"` + name + `","wallNs":` + wall + "}\n")
		require.NoError(t, err)
		require.NoError(t, f.Close())
		files = append(files, file)
	}
	records, err := ReadFiles(files...)
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.Equal(t, "b", records[0].VM)

	_, err = ReadFiles(filepath.Join(dir, "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestLogReportsWriteErrors(t *testing.T) {
	f, err := os.CreateTemp(t.TempDir(), "")
	require.NoError(t, err)
	require.NoError(t, f.Close())
	l := NewLog(f, "vm-1", "stock")
	l.Add(Record{Kind: ProcessStarted})
	require.ErrorIs(t, l.Err(), os.ErrClosed)
}

const ms = int64(time.Millisecond)

// sampleRecords returns a log in which r1 runs its booking twice, r2 is cancelled
// while running, r3 is cancelled in the queue and r4 crashes.
func sampleRecords() []Record {
	return []Record{
		{Kind: Started, WallNs: 0, VM: "a", Request: "r1", Method: "POST", Path: "/book"},
		{Kind: Started, WallNs: 1 * ms, VM: "b", Request: "r1", Method: "POST", Path: "/book"},
		{Kind: Started, WallNs: 2 * ms, VM: "b", Request: "r1", Method: "POST", Path: "/stock", Position: "0"},
		{Kind: Started, WallNs: 3 * ms, VM: "b", Request: "r1", Method: "POST", Path: "/stock", Position: "1"},
		{Kind: Started, WallNs: 4 * ms, VM: "a", Request: "r2", Method: "GET", Path: "/look"},
		{Kind: Draining, WallNs: 5 * ms, VM: "a"},
		{Kind: Finished, WallNs: 10 * ms, VM: "a", Request: "r1", RunMs: 10},
		{Kind: Cancelled, WallNs: 24 * ms, VM: "a", Request: "r2", RunMs: 20},
		{Kind: Cancelled, WallNs: 30 * ms, VM: "a", Request: "r3"},
		{Kind: Started, WallNs: 31 * ms, VM: "a", Request: "r4", Method: "GET", Path: "/look"},
		{Kind: Crashed, WallNs: 36 * ms, VM: "a", Request: "r4", RunMs: 5},
	}
}

func TestDuplicateRuns(t *testing.T) {
	book := RunKey{Request: "r1", Method: "POST", Path: "/book"}
	require.Equal(t, []Runs{{RunKey: book, Count: 2}}, DuplicateRuns(sampleRecords(), nil))
	duplicates := DuplicateRuns(sampleRecords(), func(k RunKey) bool { return k.Path != "/book" })
	require.Empty(t, duplicates)
	require.Len(t, CountRuns(sampleRecords()), 5)
}

func TestEndpointTime(t *testing.T) {
	require.Equal(t, []RequestTime{
		{Request: "r1", Time: 10 * time.Millisecond},
		{Request: "r2", Time: 20 * time.Millisecond},
		{Request: "r4", Time: 5 * time.Millisecond},
	}, EndpointTime(sampleRecords()))
}

func TestWasted(t *testing.T) {
	onlyR1Succeeded := func(request string) bool { return request == "r1" }
	w := Wasted(sampleRecords(), onlyR1Succeeded)
	require.Equal(t, WastedTime{Wasted: 25 * time.Millisecond, Total: 35 * time.Millisecond}, w)
	require.InDelta(t, 25.0/35.0, w.Share(), 1e-9)
	require.Zero(t, Wasted(nil, onlyR1Succeeded).Share())
}

func TestWastedAfterEnd(t *testing.T) {
	tests := []struct {
		desc   string
		endNs  int64
		wasted time.Duration
	}{
		{desc: "request ended before the call started", endNs: 1 * ms, wasted: 20 * time.Millisecond},
		{desc: "request ended while the call ran", endNs: 14 * ms, wasted: 10 * time.Millisecond},
		{desc: "request ended when the call ended", endNs: 24 * ms},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			w := WastedAfterEnd(sampleRecords(), func(request string) (int64, bool) {
				return test.endNs, request == "r2"
			})
			require.Equal(t, test.wasted, w.Wasted)
			require.Equal(t, 35*time.Millisecond, w.Total)
		})
	}
}

func TestCountAfterDrainStart(t *testing.T) {
	records := sampleRecords()
	started := CountAfter(records, Started, func(vm string) (int64, bool) {
		return DrainStart(records, vm)
	})
	require.Equal(t, []VMCount{{VM: "a", Count: 1}}, started)
	_, found := DrainStart(records, "b")
	require.False(t, found)
}

func TestUnfinished(t *testing.T) {
	start := Record{Kind: Started, VM: "a", Request: "r1", Path: "/book"}
	with := func(change func(*Record)) Record {
		r := start
		change(&r)
		return r
	}
	end := with(func(r *Record) { r.Kind, r.RunMs = Finished, 1 })
	tests := []struct {
		desc    string
		records []Record
		want    []Record
	}{
		{"finished", []Record{start, end}, []Record{}},
		{"cancelled while running", []Record{start, with(func(r *Record) { r.Kind, r.RunMs = Cancelled, 1 })}, []Record{}},
		{"crashed", []Record{start, with(func(r *Record) { r.Kind, r.RunMs = Crashed, 1 })}, []Record{}},
		{"killed", []Record{start}, []Record{start}},
		{"two start records, one end record", []Record{start, start, end}, []Record{start}},
		{"end record of another incarnation", []Record{start, with(func(r *Record) { r.Kind, r.RunMs, r.Incarnation = Finished, 1, 2 })}, []Record{start}},
		{"another call cancelled in the queue", []Record{start, with(func(r *Record) { r.Kind = Cancelled })}, []Record{start}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			require.Equal(t, test.want, Unfinished(test.records))
		})
	}
}

func TestLogWritesRecordOnOneLine(t *testing.T) {
	out := &bytes.Buffer{}
	NewLog(out, "vm", "s").Add(Record{Kind: Refused, Reason: "two\nlines"})
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
}

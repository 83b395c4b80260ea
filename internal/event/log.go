package event

import (
	"io"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// The keys that every event has. The remaining keys are those of its fields.
const (
	// KeyTime is the wall time, in TimeFormat.
	KeyTime = "time"
	// KeyClock is the logical time.
	KeyClock = "clock"
	// KeyEvent is the number.
	KeyEvent = "event"
	// KeyName is the stable name of the number.
	KeyName = "name"
	// KeyLevel is the level.
	KeyLevel = "level"
	// KeyProcess is the program that emitted the event.
	KeyProcess = "process"
	// KeyVM is the VM of the program.
	KeyVM = "vm"
	// KeyCorrelation is the ID of the request that the event belongs to. Events
	// of no request leave it out.
	KeyCorrelation = "correlation"
	// KeySuppressed counts events of the same number that a rate limit held
	// back since the last one that was written.
	KeySuppressed = "suppressed"
)

// TimeFormat is the format of wall times, with microseconds, in UTC.
const TimeFormat = "2006-01-02T15:04:05.000000Z"

// Log writes events of one process. It is safe for concurrent use.
type Log struct {
	out     zerolog.Logger
	clock   *Clock
	numbers map[Number]*number
	lost    atomic.Int64 // lines that the output did not take
}

// number is the state of one kind of event.
type number struct {
	definition Definition
	enabled    bool
	limiter    limiter
}

// NewLog returns a log that writes JSON lines to w, each in one call of Write.
// process and vm name the origin of every event.
func NewLog(w io.Writer, process, vm string, level zerolog.Level) *Log {
	l := &Log{
		out:     zerolog.New(zerolog.SyncWriter(w)).With().Str(KeyProcess, process).Str(KeyVM, vm).Logger(),
		clock:   &Clock{},
		numbers: make(map[Number]*number),
	}
	for _, d := range Definitions() {
		l.numbers[d.Number] = &number{definition: d, enabled: d.Level >= level}
	}
	return l
}

// LimitRate bounds each kind of event to perSecond lines a second, save the
// exact ones. The next line of that kind tells how many were held back. It is
// called before the first Emit.
func (l *Log) LimitRate(perSecond int) *Log {
	for _, n := range l.numbers {
		if !n.definition.RateLimitExempt {
			n.limiter.perSecond = uint64(max(perSecond, 1))
		}
	}
	return l
}

// RecordLostLines takes in that the output did not take a count of lines.
func (l *Log) RecordLostLines(count int) {
	l.lost.Add(int64(count))
}

// ReportDroppedLines writes a line for each kind of event of which lines were held back or
// lost and not told of yet. It is called once a second and at the end.
func (l *Log) ReportDroppedLines() {
	for _, d := range Definitions() {
		if held := l.numbers[d.Number].limiter.take(); held > 0 {
			l.Emit(LinesSuppressed, "", F("of", int(d.Number)), F("count", held))
		}
	}
	if lost := l.lost.Swap(0); lost > 0 {
		l.Emit(LinesLost, "", F("count", lost))
	}
}

// Clock returns the logical clock that stamps the events.
func (l *Log) Clock() *Clock {
	return l.clock
}

// Enabled reports whether events of a number are logged. Callers use it before
// they build costly fields.
func (l *Log) Enabled(n Number) bool {
	kind := l.numbers[n]
	return kind != nil && kind.enabled
}

// Emit writes one event. correlation is the ID of the request that the event
// belongs to, or empty. A number without a definition is not written.
func (l *Log) Emit(n Number, correlation string, fields ...Field) {
	kind := l.numbers[n]
	if kind == nil || !kind.enabled {
		return
	}
	now := time.Now()
	allowed, suppressed := kind.limiter.allow(now)
	if !allowed {
		return
	}
	e := l.out.WithLevel(kind.definition.Level).
		Str(KeyTime, now.UTC().Format(TimeFormat)).
		Uint64(KeyClock, l.clock.Tick()).
		Int(KeyEvent, int(n)).
		Str(KeyName, kind.definition.Name)
	if correlation != "" {
		e = e.Str(KeyCorrelation, correlation)
	}
	if suppressed > 0 {
		e = e.Uint64(KeySuppressed, suppressed)
	}
	for _, f := range fields {
		appendField(e, f)
	}
	e.Send()
}

// maxFieldBytes bounds a text, so that a line stays short enough for a Ring.
const maxFieldBytes = 1024

// cut shortens a long text.
func cut(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFieldBytes], "") + "…"
}

// appendField adds a field. Durations are written as text with their unit, long
// texts are cut.
func appendField(e *zerolog.Event, f Field) {
	switch v := f.Value.(type) {
	case string:
		e.Str(f.Key, cut(v))
	case int:
		e.Int(f.Key, v)
	case uint32:
		e.Uint32(f.Key, v)
	case int64:
		e.Int64(f.Key, v)
	case uint64:
		e.Uint64(f.Key, v)
	case bool:
		e.Bool(f.Key, v)
	case float64:
		e.Float64(f.Key, v)
	case time.Duration:
		e.Str(f.Key, v.String())
	case error:
		e.Str(f.Key, cut(v.Error()))
	case []string:
		e.Strs(f.Key, v)
	default:
		e.Interface(f.Key, f.Value)
	}
}

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
	// KeyVM is the VM on which the program runs.
	KeyVM = "vm"
	// KeyCorrelation is the ID of the request that the event belongs to. Events
	// that belong to no request lack it.
	KeyCorrelation = "correlation"
	// KeySuppressed is the number of events of the same number that the rate limit
	// suppressed since the last one written.
	KeySuppressed = "suppressed"
)

// TimeFormat is the format of wall times, with microseconds, in UTC.
const TimeFormat = "2006-01-02T15:04:05.000000Z"

// Log writes events of one process. It is safe for concurrent use.
type Log struct {
	out    zerolog.Logger
	clock  *Clock
	states map[Number]*eventState
	lost   atomic.Int64 // lines lost by the output since the last report
}

// eventState is the state of one kind of event in a Log.
type eventState struct {
	definition Definition
	enabled    bool
	limiter    limiter
}

// NewLog returns a log that writes JSON lines to w, each in one call of Write.
// process and vm identify the origin of every event.
func NewLog(w io.Writer, process, vm string, level zerolog.Level) *Log {
	l := &Log{
		out:    zerolog.New(zerolog.SyncWriter(w)).With().Str(KeyProcess, process).Str(KeyVM, vm).Logger(),
		clock:  &Clock{},
		states: make(map[Number]*eventState),
	}
	for _, d := range Definitions() {
		l.states[d.Number] = &eventState{definition: d, enabled: d.Level >= level}
	}
	return l
}

// LimitRate limits each kind of event to perSecond lines a second, except kinds that
// are exempt. The next line of a kind contains the number of suppressed lines.
// LimitRate must be called before the first Emit.
func (l *Log) LimitRate(perSecond int) *Log {
	for _, n := range l.states {
		if !n.definition.RateLimitExempt {
			n.limiter.perSecond = uint64(max(perSecond, 1))
		}
	}
	return l
}

// RecordLostLines adds to the number of lines that the output lost.
func (l *Log) RecordLostLines(count int) {
	l.lost.Add(int64(count))
}

// ReportDroppedLines emits LinesSuppressed for each kind of event with suppressed lines
// not reported yet, and LinesLost for lost lines. It is called once a second and at
// the end.
func (l *Log) ReportDroppedLines() {
	for _, d := range Definitions() {
		if suppressed := l.states[d.Number].limiter.takeSuppressed(); suppressed > 0 {
			l.Emit(LinesSuppressed, "", F("of", int(d.Number)), F("count", suppressed))
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

// Enabled reports whether events of a number are logged. Callers check it before
// they compute expensive fields.
func (l *Log) Enabled(n Number) bool {
	state := l.states[n]
	return state != nil && state.enabled
}

// Emit writes one event. correlation is the ID of the request that the event
// belongs to, or empty. A number without a definition is not written.
func (l *Log) Emit(n Number, correlation string, fields ...Field) {
	state := l.states[n]
	if state == nil || !state.enabled {
		return
	}
	now := time.Now()
	allowed, suppressed := state.limiter.allow(now)
	if !allowed {
		return
	}
	e := l.out.WithLevel(state.definition.Level).
		Str(KeyTime, now.UTC().Format(TimeFormat)).
		Uint64(KeyClock, l.clock.Tick()).
		Int(KeyEvent, int(n)).
		Str(KeyName, state.definition.Name)
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

// maxFieldBytes bounds a text field, so that a line is short enough for a Ring.
const maxFieldBytes = 1024

// truncate shortens a text to maxFieldBytes.
func truncate(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFieldBytes], "") + "…"
}

// appendField adds a field. Durations are written as text with their unit, long
// texts are truncated.
func appendField(e *zerolog.Event, f Field) {
	switch v := f.Value.(type) {
	case string:
		e.Str(f.Key, truncate(v))
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
		e.Str(f.Key, truncate(v.Error()))
	case []string:
		e.Strs(f.Key, v)
	default:
		e.Interface(f.Key, f.Value)
	}
}

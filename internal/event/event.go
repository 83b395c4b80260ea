// Package event emits the numbered events of all processes.
package event

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// Number identifies a kind of event for ever. Numbers are never reused.
type Number int

// Definition describes one kind of event for the catalogue in docs/EVENTS.md.
type Definition struct {
	// Number is the stable number.
	Number Number
	// Name is the stable name.
	Name string
	// Level is the level at which the event is logged.
	Level zerolog.Level
	// Meaning says what happened and what an operator may do.
	Meaning string
}

// All returns every definition, ordered by area.
func All() []Definition {
	var all []Definition
	all = append(all, trafficEvents...)
	all = append(all, controlEvents...)
	all = append(all, lifecycleEvents...)
	all = append(all, standinEvents...)
	all = append(all, loadEvents...)
	return all
}

// Clock is a logical (Lamport) clock. It orders events over processes whose
// wall clocks differ.
type Clock struct {
	now atomic.Uint64
}

// Tick advances the clock and returns the new time.
func (c *Clock) Tick() uint64 {
	return c.now.Add(1)
}

// Observe advances the clock to at least a time received with a message.
func (c *Clock) Observe(received uint64) {
	for {
		now := c.now.Load()
		if received <= now || c.now.CompareAndSwap(now, received) {
			return
		}
	}
}

// Field is one value of an event.
type Field struct {
	// Key is the field's name.
	Key string
	// Value is a string, a number, a bool, a time.Duration or an error.
	Value any
}

// F returns a Field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Log writes events of one process.
type Log struct {
	out         zerolog.Logger
	clock       *Clock
	definitions map[Number]Definition
}

// NewLog returns a log that writes JSON lines to w. process and vm name the
// origin of every event.
func NewLog(w io.Writer, process, vm string, level zerolog.Level) *Log {
	l := &Log{
		out:         zerolog.New(zerolog.SyncWriter(w)).Level(level).With().Str("process", process).Str("vm", vm).Logger(),
		clock:       &Clock{},
		definitions: make(map[Number]Definition),
	}
	for _, d := range All() {
		l.definitions[d.Number] = d
	}
	return l
}

// Clock returns the logical clock that stamps the events.
func (l *Log) Clock() *Clock {
	return l.clock
}

// Emit writes one event. correlation is the ID of the request that the event
// belongs to, or empty.
func (l *Log) Emit(n Number, correlation string, fields ...Field) {
	d := l.definitions[n]
	e := l.out.WithLevel(d.Level)
	if l.out.GetLevel() > d.Level {
		return
	}
	e = e.Time("time", time.Now()).Uint64("clock", l.clock.Tick()).Int("event", int(n)).Str("name", d.Name)
	if correlation != "" {
		e = e.Str("correlation", correlation)
	}
	for _, f := range fields {
		e = e.Interface(f.Key, f.Value)
	}
	e.Send()
}

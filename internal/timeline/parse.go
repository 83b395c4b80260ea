// Package timeline merges the event logs of many processes into one order in
// which causes come before their effects, although wall clocks differ.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

// Event is one line of a log.
type Event struct {
	// Clock is the logical time.
	Clock uint64
	// Time is the wall time of the process.
	Time time.Time
	// Process is the kind of program, such as "node".
	Process string
	// VM is the VM on which it runs.
	VM string
	// Number identifies the kind of event.
	Number event.Number
	// Name is the name that belongs to the number.
	Name string
	// Level is the level, such as "info".
	Level string
	// Correlation is the ID of the request, or empty.
	Correlation string
	// Fields holds the remaining values, ordered by key.
	Fields []Field
}

// Field is one value of an event.
type Field struct {
	// Key is the field's name.
	Key string
	// Value is the value as text.
	Value string
}

// ProcessName names the process of an event.
func (e *Event) ProcessName() string {
	return e.VM + " " + e.Process
}

// Details returns the fields as one line.
func (e *Event) Details() string {
	var b strings.Builder
	for i, f := range e.Fields {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(f.Key)
		b.WriteByte('=')
		b.WriteString(f.Value)
	}
	return b.String()
}

// Log holds the events of one source.
type Log struct {
	// Events holds the events in the order of the lines.
	Events []Event
	// Skipped counts lines that are not events, such as the stack trace of a panic.
	Skipped int
}

// maxLineBytes bounds one line of a log. Longer lines are skipped.
const maxLineBytes = 1 << 20

// Parse reads a log of JSON lines.
func Parse(r io.Reader) (*Log, error) {
	l := &Log{}
	in := bufio.NewReaderSize(r, maxLineBytes)
	tooLong := false // the current line exceeds maxLineBytes
	for {
		line, err := in.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			tooLong = true
			continue
		case tooLong:
			l.Skipped++
			tooLong = false
		default:
			l.parseAndAppend(line)
		}
		if errors.Is(err, io.EOF) {
			return l, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
}

// ReadFile reads a log from a file.
func ReadFile(file string) (*Log, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer func() { _ = f.Close() }() // only read from
	return Parse(f)
}

func (l *Log) parseAndAppend(line []byte) {
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	e, ok := parseLine(line)
	if !ok {
		l.Skipped++
		return
	}
	l.Events = append(l.Events, e)
}

// commonFields holds the keys that every event has.
type commonFields struct {
	Clock       uint64       `json:"clock"`
	Time        time.Time    `json:"time"`
	Process     string       `json:"process"`
	VM          string       `json:"vm"`
	Number      event.Number `json:"event"`
	Name        string       `json:"name"`
	Level       string       `json:"level"`
	Correlation string       `json:"correlation"`
}

// parseLine reads one line. Text before the first brace is ignored, as captured output
// may have a prefix with the time and the VM.
func parseLine(line []byte) (Event, bool) {
	line = line[max(bytes.IndexByte(line, '{'), 0):]
	var c commonFields
	var all map[string]json.RawMessage
	if json.Unmarshal(line, &c) != nil || json.Unmarshal(line, &all) != nil || c.Number == 0 {
		return Event{}, false
	}
	for _, key := range commonKeys() {
		delete(all, key)
	}
	e := Event{
		Clock: c.Clock, Time: c.Time, Process: c.Process, VM: c.VM,
		Number: c.Number, Name: c.Name, Level: c.Level, Correlation: c.Correlation,
	}
	for key, value := range all {
		e.Fields = append(e.Fields, Field{Key: key, Value: displayText(value)})
	}
	sort.Slice(e.Fields, func(i, j int) bool { return e.Fields[i].Key < e.Fields[j].Key })
	return e, true
}

func commonKeys() []string {
	return []string{
		event.KeyClock, event.KeyTime, event.KeyProcess, event.KeyVM,
		event.KeyEvent, event.KeyName, event.KeyLevel, event.KeyCorrelation,
	}
}

// displayText returns a JSON string without quotes and any other value unchanged.
func displayText(value json.RawMessage) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	return string(value)
}

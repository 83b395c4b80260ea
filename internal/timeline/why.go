package timeline

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

const (
	// causesMax bounds the failed calls that are named for one failed run.
	causesMax = 5
	// depthMax bounds how far down a chain a failure is followed.
	depthMax = 16
)

// Diagnosis is what the events of all processes tell about one request.
type Diagnosis struct {
	// Events are those of the request itself, in order.
	Events []Event
	// Causes are failed calls of an endpoint while it ran the request and failed,
	// the most likely one last: an endpoint fails as soon as a call that it needs
	// does.
	Causes []Event
	// CauseDiagnosis is what is known of the most likely cause; nil without one.
	CauseDiagnosis *Diagnosis
	// NoFailedCalls says that an endpoint failed the request and none of its calls failed.
	NoFailedCalls bool
}

// Diagnose returns what events tell about the request with an ID.
func Diagnose(events []Event, id string) *Diagnosis {
	return newIndex(events).whyOf(id, depthMax)
}

// index finds events by their request, and failed calls by the VM that made them.
type index struct {
	requests map[string][]Event
	failed   map[string][]Event
}

func newIndex(events []Event) *index {
	x := &index{requests: make(map[string][]Event), failed: make(map[string][]Event)}
	for _, e := range events {
		x.requests[e.Correlation] = append(x.requests[e.Correlation], e)
		if e.Number == event.OutboundCallRefused || e.Number == event.OutboundCallFailed {
			x.failed[e.VM] = append(x.failed[e.VM], e)
		}
	}
	return x
}

func (x *index) whyOf(id string, depth int) *Diagnosis {
	w := &Diagnosis{}
	for _, e := range x.requests[id] {
		w.Events = append(w.Events, e)
		if e.Number == event.EndpointFailed {
			causes := x.failedMeanwhile(&e)
			w.Causes = append(w.Causes, causes...)
			w.NoFailedCalls = len(causes) == 0
		}
	}
	if len(w.Causes) == 0 || depth == 0 {
		return w
	}
	if below := x.whyOf(w.Causes[len(w.Causes)-1].Correlation, depth-1); len(below.Causes) > 0 || below.NoFailedCalls {
		w.CauseDiagnosis = below
	}
	return w
}

// failedMeanwhile returns the calls of a VM's endpoint that failed while it ran
// the request of a failed run, the newest last.
func (x *index) failedMeanwhile(run *Event) []Event {
	took, err := time.ParseDuration(run.field("took"))
	if err != nil {
		return nil
	}
	var causes []Event
	for _, e := range x.failed[run.VM] {
		if e.Correlation == run.Correlation {
			continue
		}
		if !e.Time.Before(run.Time.Add(-took)) && !e.Time.After(run.Time) {
			causes = append(causes, e)
		}
	}
	return causes[max(len(causes)-causesMax, 0):]
}

func (e *Event) field(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// deepest returns the event that is most likely at the bottom of it all, or nil.
func (w *Diagnosis) deepest() *Event {
	for w.CauseDiagnosis != nil && (len(w.CauseDiagnosis.Causes) > 0 || w.CauseDiagnosis.NoFailedCalls) {
		w = w.CauseDiagnosis
	}
	if len(w.Causes) == 0 {
		return nil
	}
	return &w.Causes[len(w.Causes)-1]
}

// Empty reports whether nothing is known.
func (w *Diagnosis) Empty() bool {
	return len(w.Events) == 0
}

// Write prints what is known, the likely causes of failed runs below them.
func (w *Diagnosis) Write(out io.Writer) error {
	var b strings.Builder // writing to memory never fails
	w.write(&b, "")
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write")
}

func (w *Diagnosis) write(b *strings.Builder, indent string) {
	for _, e := range w.Events {
		writeWhy(b, indent, &e)
	}
	if w.NoFailedCalls {
		fmt.Fprintln(b, indent+"no call of that endpoint is known to have failed meanwhile: it failed by itself, or its node was away (events 3001 to 3003 of the VM)")
	}
	if len(w.Causes) == 0 {
		return
	}
	fmt.Fprintln(b, indent+"failed calls of the same endpoint meanwhile, the most likely cause last:")
	indent += "  "
	last := len(w.Causes) - 1
	for _, e := range w.Causes[:last] {
		writeWhy(b, indent, &e)
	}
	if w.CauseDiagnosis != nil {
		w.CauseDiagnosis.write(b, indent)
		return
	}
	writeWhy(b, indent, &w.Causes[last])
}

func writeWhy(b *strings.Builder, indent string, e *Event) {
	fmt.Fprintf(b, "%s%s %s %d %s %s\n", indent, e.Time.UTC().Format(event.TimeFormat), e.VM, e.Number, e.Name, e.Details())
}

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
	// maxCauses bounds the failed calls that are listed for one failed request.
	maxCauses = 5
	// maxDepth bounds the number of calls along which a failure is traced.
	maxDepth = 16
)

// Diagnosis holds the events of one request and the likely causes of its failure.
type Diagnosis struct {
	// Events are those of the request itself, in order.
	Events []Event
	// Causes are the calls of the endpoint that failed while it ran the request, the
	// most likely cause last: an endpoint usually fails right after a call that it
	// needs.
	Causes []Event
	// CauseDiagnosis is the diagnosis of the most likely cause, or nil.
	CauseDiagnosis *Diagnosis
	// NoFailedCalls is set if an endpoint failed the request although none of its calls failed.
	NoFailedCalls bool
}

// Diagnose returns the diagnosis of the request with the given ID.
func Diagnose(events []Event, id string) *Diagnosis {
	return newIndex(events).diagnose(id, maxDepth)
}

// requestIndex maps requests to their events, and VMs to their failed calls.
type requestIndex struct {
	requests    map[string][]Event
	failedCalls map[string][]Event
}

func newIndex(events []Event) *requestIndex {
	x := &requestIndex{requests: make(map[string][]Event), failedCalls: make(map[string][]Event)}
	for _, e := range events {
		x.requests[e.Correlation] = append(x.requests[e.Correlation], e)
		if e.Number == event.OutboundCallRefused || e.Number == event.OutboundCallFailed {
			x.failedCalls[e.VM] = append(x.failedCalls[e.VM], e)
		}
	}
	return x
}

func (x *requestIndex) diagnose(id string, depth int) *Diagnosis {
	d := &Diagnosis{}
	for _, e := range x.requests[id] {
		d.Events = append(d.Events, e)
		if e.Number == event.EndpointFailed {
			causes := x.failedCallsDuring(&e)
			d.Causes = append(d.Causes, causes...)
			d.NoFailedCalls = len(causes) == 0
		}
	}
	if len(d.Causes) == 0 || depth == 0 {
		return d
	}
	if cause := x.diagnose(d.Causes[len(d.Causes)-1].Correlation, depth-1); len(cause.Causes) > 0 || cause.NoFailedCalls {
		d.CauseDiagnosis = cause
	}
	return d
}

// failedCallsDuring returns the calls of an endpoint that failed while it ran the
// request of run, which is an EndpointFailed event. The newest is last.
func (x *requestIndex) failedCallsDuring(run *Event) []Event {
	took, err := time.ParseDuration(run.field("took"))
	if err != nil {
		return nil
	}
	var causes []Event
	for _, e := range x.failedCalls[run.VM] {
		if e.Correlation == run.Correlation {
			continue
		}
		if !e.Time.Before(run.Time.Add(-took)) && !e.Time.After(run.Time) {
			causes = append(causes, e)
		}
	}
	return causes[max(len(causes)-maxCauses, 0):]
}

func (e *Event) field(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// rootCause returns the failed call that is most likely the root cause, or nil.
func (d *Diagnosis) rootCause() *Event {
	for d.CauseDiagnosis != nil && (len(d.CauseDiagnosis.Causes) > 0 || d.CauseDiagnosis.NoFailedCalls) {
		d = d.CauseDiagnosis
	}
	if len(d.Causes) == 0 {
		return nil
	}
	return &d.Causes[len(d.Causes)-1]
}

// Empty reports whether there are no events of the request.
func (d *Diagnosis) Empty() bool {
	return len(d.Events) == 0
}

// Write prints the events, with the likely causes indented below failures.
func (d *Diagnosis) Write(out io.Writer) error {
	var b strings.Builder // writing to memory never fails
	d.write(&b, "")
	_, err := io.WriteString(out, b.String())
	return errors.Wrap(err, "write")
}

func (d *Diagnosis) write(b *strings.Builder, indent string) {
	for _, e := range d.Events {
		writeEvent(b, indent, &e)
	}
	if d.NoFailedCalls {
		fmt.Fprintln(b, indent+"no failed call of that endpoint is known for that time: it failed by itself, or its node was stopped (events 3001 to 3003 of the VM)")
	}
	if len(d.Causes) == 0 {
		return
	}
	fmt.Fprintln(b, indent+"failed calls of the same endpoint during the request, the most likely cause last:")
	indent += "  "
	last := len(d.Causes) - 1
	for _, e := range d.Causes[:last] {
		writeEvent(b, indent, &e)
	}
	if d.CauseDiagnosis != nil {
		d.CauseDiagnosis.write(b, indent)
		return
	}
	writeEvent(b, indent, &d.Causes[last])
}

func writeEvent(b *strings.Builder, indent string, e *Event) {
	fmt.Fprintf(b, "%s%s %s %d %s %s\n", indent, e.Time.UTC().Format(event.TimeFormat), e.VM, e.Number, e.Name, e.Details())
}

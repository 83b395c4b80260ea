package timeline

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/event"
)

// causesMax bounds the failed calls that are named for one failed run.
const causesMax = 5

// Why is what the events of all processes tell about one request.
type Why struct {
	// Events are those of the request itself, in order.
	Events []Event
	// Causes are failed calls of an endpoint while it ran the request and failed.
	Causes []Event
}

// WhyOf returns what events tell about the request with an ID.
func WhyOf(events []Event, id string) Why {
	var w Why
	for _, e := range events {
		if e.Correlation != id {
			continue
		}
		w.Events = append(w.Events, e)
		if e.Number == event.EndpointFailed {
			w.Causes = append(w.Causes, failedMeanwhile(events, &e)...)
		}
	}
	return w
}

// failedMeanwhile returns the calls of a VM's endpoint that failed while it ran
// the request of a failed run.
func failedMeanwhile(events []Event, run *Event) []Event {
	took, err := time.ParseDuration(run.field("took"))
	if err != nil {
		return nil
	}
	var causes []Event
	for _, e := range events {
		if e.Number != event.CallRefused || e.VM != run.VM || e.field("own") != "true" || e.Correlation == run.Correlation {
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

// Empty reports whether nothing is known.
func (w Why) Empty() bool {
	return len(w.Events) == 0
}

// Write prints what is known, the likely causes of failed runs last.
func (w Why) Write(out io.Writer) error {
	for _, e := range w.Events {
		if err := writeWhy(out, "", &e); err != nil {
			return err
		}
	}
	if len(w.Causes) > 0 {
		if _, err := fmt.Fprintln(out, "failed calls of the same endpoint meanwhile:"); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	for _, e := range w.Causes {
		if err := writeWhy(out, "  ", &e); err != nil {
			return err
		}
	}
	return nil
}

func writeWhy(out io.Writer, indent string, e *Event) error {
	_, err := fmt.Fprintf(out, "%s%s %s %d %s %s\n", indent, e.Time.UTC().Format(event.TimeFormat), e.VM, e.Number, e.Name, e.Details())
	return errors.Wrap(err, "write")
}

package priorityinversion

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/outcome"
)

// maxTraces limits the violations that are written with their trace.
const maxTraces = 10

// WriteText writes the counts, and the first violations with their traces.
// Times are milliseconds after the arrival of the refused request.
func (r *Result) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "refused, of classes with less important ones below them: %d\n"+
		"refused while a later one of less importance ran: %d\n", r.Refused, len(r.Violations))
	for i := range r.Violations[:min(len(r.Violations), maxTraces)] {
		if err == nil {
			_, err = io.WriteString(w, r.Violations[i].trace())
		}
	}
	return errors.Wrap(err, "write priority inversions")
}

// trace returns the records of the refused request and the later starts as text.
func (v *Violation) trace() string {
	o := &v.Refused
	text := fmt.Sprintf("%s %s: %s/%s at %s, sends: %d\n", o.Request, o.Class, o.Label(), o.Ran, formatOffset(o, o.EndWallNs), o.Sends)
	for i := range v.Records {
		record := &v.Records[i]
		text += fmt.Sprintf("  %s %s %s %q %s\n", formatOffset(o, record.WallNs), record.Kind, record.VM, record.Position, record.Path)
	}
	for _, later := range v.LaterStarts {
		s := later.First
		text += fmt.Sprintf("  %s later: %s started at %s of %s, the first of %d\n",
			formatOffset(o, s.WallNs), s.Request, s.VM, s.Service, later.Starts)
	}
	return text
}

func formatOffset(o *outcome.Outcome, wallNs int64) string {
	return fmt.Sprintf("+%.1f ms", float64(wallNs-arrivedNs(o))/float64(time.Millisecond))
}

package timeline

import (
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// timeLayout formats wall times to the millisecond.
const timeLayout = "15:04:05.000"

// WriteText writes one line for each event: logical time, wall time, process,
// number and name, correlation, fields.
func WriteText(w io.Writer, events []Event) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(out, "CLOCK", "TIME", "PROCESS", "EVENT", "CORRELATION", "DETAILS")
	for i := range events {
		e := &events[i]
		writeRow(out, formatNumber(e.Clock), e.Time.UTC().Format(timeLayout), e.ProcessName(),
			formatNumber(uint64(e.Number))+" "+e.Name, dashIfEmpty(e.Correlation), e.Details())
	}
	return errors.Wrap(out.Flush(), "write time line")
}

func writeRow(out io.Writer, cells ...string) {
	_, _ = io.WriteString(out, strings.Join(cells, "\t")+"\n") // Flush reports a failure
}

func formatNumber(n uint64) string {
	return strconv.FormatUint(n, 10)
}

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

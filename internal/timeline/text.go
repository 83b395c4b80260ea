package timeline

import (
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// textTime shows wall times to the millisecond.
const textTime = "15:04:05.000"

// WriteText writes one line for each event: logical time, wall time, process,
// number and name, correlation, fields.
func WriteText(w io.Writer, events []Event) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(out, "CLOCK", "TIME", "PROCESS", "EVENT", "CORRELATION", "DETAILS")
	for i := range events {
		e := &events[i]
		writeRow(out, number(e.Clock), e.Time.UTC().Format(textTime), e.ProcessName(),
			number(uint64(e.Number))+" "+e.Name, orDash(e.Correlation), e.Details())
	}
	return errors.Wrap(out.Flush(), "write time line")
}

func writeRow(out io.Writer, cells ...string) {
	_, _ = io.WriteString(out, strings.Join(cells, "\t")+"\n") // Flush reports a failure
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

package main

import (
	"bufio"
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/timeline"
)

// defaultMaxEvents bounds the events on a page, so that browsers can display it.
const defaultMaxEvents = 20000

// timelineCommand merges event logs.
type timelineCommand struct {
	output
	correlation string
	html        string
	maxEvents   int
}

func (*timelineCommand) Name() string     { return "timeline" }
func (*timelineCommand) Synopsis() string { return "merge event logs into one time line" }
func (*timelineCommand) Usage() string {
	return `galenacart-ctl timeline [-correlation ID] [-html FILE [-max N]] LOG...
Merges the event logs of all processes in causal order, even if wall clocks differ.
Prints text, or writes one self-contained HTML page.
Exit codes: 0 done, 1 failed or no event found, 2 bad usage.
`
}

func (c *timelineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.correlation, "correlation", "", "show the request with this `ID` only")
	f.StringVar(&c.html, "html", "", "write a page to `file`")
	f.IntVar(&c.maxEvents, "max", defaultMaxEvents, "`number` of events on the page, the newest; 0 for all")
}

// Execute merges the logs.
func (c *timelineCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError("timeline: want at least one LOG")
	}
	var logs []*timeline.Log
	for _, file := range f.Args() {
		l, err := timeline.ReadFile(file)
		if err != nil {
			return c.fail(err)
		}
		if l.Skipped > 0 {
			_ = c.fail(errors.Errorf("%s: lines that are not events: %d", file, l.Skipped)) // the events are still merged
		}
		logs = append(logs, l)
	}
	events := timeline.Merge(logs...)
	if c.correlation != "" {
		events = timeline.Filter(events, c.correlation)
	}
	if len(events) == 0 {
		return c.fail(errors.New("no event found"))
	}
	if err := c.write(events); err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *timelineCommand) write(events []timeline.Event) error {
	if c.html == "" {
		return timeline.WriteText(c.out, events)
	}
	options := timeline.HTMLOptions{MaxEvents: c.maxEvents, Correlation: c.correlation}
	return writeFile(c.html, func(w io.Writer) error {
		return timeline.WriteHTML(w, events, options)
	})
}

// writeFile writes a file through a buffer. It returns errors of flushing and closing as well.
func writeFile(file string, write func(io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	buffer := bufio.NewWriter(f)
	err = write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, file)
}

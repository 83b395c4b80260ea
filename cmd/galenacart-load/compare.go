package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/chart"
	"github.com/galenacart/galenacart/internal/load/report"
)

// compareCommand prints several reports of one experiment in one table.
type compareCommand struct {
	plots  []string
	spread bool
}

func (*compareCommand) Name() string     { return "compare" }
func (*compareCommand) Synopsis() string { return "print reports of one experiment in one table" }
func (*compareCommand) Usage() string {
	return `galenacart-load compare [-spread] [-plot FILE]... REPORT...
Prints the reports of several runs of one experiment and seed side by side, or the minimum,
median and maximum of each figure. -plot draws them into a .svg or .png file.
Exit codes: 0 printed, 1 failed, 2 bad usage or input.
`
}

func (c *compareCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.spread, "spread", false, "print minimum, median and maximum of reports of one mode")
	f.Func("plot", "`file` to draw to, .svg or .png; may be repeated", func(file string) error {
		c.plots = append(c.plots, file)
		return nil
	})
}

// Execute prints the table.
func (c *compareCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var reports []*report.Report
	for _, file := range f.Args() {
		r, err := report.ReadFile(file)
		if err != nil {
			return badUsage(err)
		}
		reports = append(reports, r)
	}
	if err := report.CheckComparable(reports); err != nil {
		return badUsage(errors.WithMessage(err, "REPORT"))
	}
	write := report.WriteComparison
	if c.spread {
		write = report.WriteSpread
	}
	if err := write(os.Stdout, reports); err != nil {
		return reportFailure(err)
	}
	for _, file := range c.plots {
		if err := chart.WriteFile(file, reports); err != nil {
			return reportFailure(err)
		}
	}
	return subcommands.ExitSuccess
}

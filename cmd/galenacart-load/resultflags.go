package main

import (
	"flag"

	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/standin/truth"
)

// resultFlags holds the flags of a run's result files: the answers and the report.
type resultFlags struct {
	answers string
	report  string
}

func (l *resultFlags) setFlags(f *flag.FlagSet) {
	f.StringVar(&l.answers, "answers", "", "answers `file` of a run (required)")
	f.StringVar(&l.report, "report", "", "report `file` to add the counts to")
}

// read returns the records of the endpoint logs that are the arguments, and the
// answers.
func (l *resultFlags) read(f *flag.FlagSet) ([]truth.Record, []outcome.Outcome, error) {
	if f.NArg() == 0 {
		return nil, nil, errors.New("TRUTH: want the log of at least one endpoint")
	}
	answers, err := outcome.ReadFile(l.answers)
	if err != nil {
		return nil, nil, errors.WithMessage(err, "-answers")
	}
	records, err := truth.ReadFiles(f.Args()...)
	return records, answers, err
}

// updateReport applies change to the report file, if the flag is set.
func (l *resultFlags) updateReport(change func(*report.Report)) error {
	if l.report == "" {
		return nil
	}
	r, err := report.ReadFile(l.report)
	if err != nil {
		return err
	}
	change(r)
	return r.WriteFile(l.report)
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenacart/galenacart/internal/catalogue"
	"github.com/galenacart/galenacart/internal/event"
	"github.com/galenacart/galenacart/internal/load/chart"
	"github.com/galenacart/galenacart/internal/load/experiment"
	"github.com/galenacart/galenacart/internal/load/ideal"
	"github.com/galenacart/galenacart/internal/load/outcome"
	"github.com/galenacart/galenacart/internal/load/report"
	"github.com/galenacart/galenacart/internal/load/runner"
)

const (
	dirPermissions = 0o755
	fileAnswers    = "answers.jsonl"
	fileReport     = "report.json"
	fileEvents     = "load-events.jsonl"
	filePlot       = "plot.svg"
	eventProcess   = "load"
)

// runCommand runs one experiment.
type runCommand struct {
	deploymentFlags deploymentFlags
	experiment      string
	targets         string
	label           string
	out             string
	readyTimeout    time.Duration
}

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run an experiment and report on it" }
func (*runCommand) Usage() string {
	return `galenacart-load run -experiment FILE -catalogue FILE -deployment FILE -targets FILE -out DIR
Runs the phases of an experiment with open-loop arrivals and prints a report. Writes
answers.jsonl, report.json, plot.svg and load-events.jsonl below DIR.
Exit codes: 0 completed, 1 failed or stopped early, 2 bad usage or input.
`
}

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	c.deploymentFlags.setFlags(f)
	f.StringVar(&c.experiment, "experiment", "", "JSON `file` of the experiment (required)")
	f.StringVar(&c.targets, "targets", "", "targets `file` of a layout (required)")
	f.StringVar(&c.label, "label", "", "`name` of this run in reports; the targets' mode by default")
	f.StringVar(&c.out, "out", "", "`directory` to write to (required)")
	f.DurationVar(&c.readyTimeout, "ready", 20*time.Second, "maximum `wait` until all processes accept requests")
}

// Execute runs the experiment.
func (c *runCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	config, err := c.config()
	if err != nil {
		return badUsage(err)
	}
	if c.out == "" {
		return badUsage(errors.New("-out: want a directory"))
	}
	if c.label == "" {
		c.label = string(config.Targets.Mode)
	}
	if err := os.MkdirAll(c.out, dirPermissions); err != nil {
		return reportFailure(errors.Wrap(err, "-out"))
	}
	if err := c.runExperiment(ctx, config); err != nil {
		return reportFailure(err)
	}
	return subcommands.ExitSuccess
}

func (c *runCommand) config() (runner.Config, error) {
	cat, d, err := c.deploymentFlags.read()
	if err != nil {
		return runner.Config{}, err
	}
	e, err := experiment.ReadFile(c.experiment, cat)
	if err != nil {
		return runner.Config{}, errors.WithMessage(err, "-experiment")
	}
	t, err := readTargets(c.targets)
	if err != nil {
		return runner.Config{}, err
	}
	return runner.Config{Experiment: e, Catalogue: cat, Deployment: d, Targets: t, EndpointControl: runner.NewAdminClient(t)}, nil
}

func (c *runCommand) runExperiment(ctx context.Context, config runner.Config) error {
	events, err := os.Create(filepath.Join(c.out, fileEvents))
	if err != nil {
		return errors.Wrap(err, "write events")
	}
	defer func() { _ = events.Close() }() // every line was written without a buffer
	log := event.NewLog(events, eventProcess, c.label, zerolog.InfoLevel)
	config.Progress = func(p *experiment.Phase) {
		log.Emit(event.LoadPhase, "", event.F("phase", p.Name), event.F("kind", string(p.Kind)))
		fmt.Fprintf(os.Stderr, "galenacart-load: %s: phase %s, %v\n", c.label, p.Name, p.Duration())
	}
	r, err := runner.New(config)
	if err != nil {
		return err
	}
	if err := c.waitReady(ctx, config.Targets); err != nil {
		return err
	}
	log.Emit(event.LoadStarted, "", event.F("experiment", config.Experiment.Name), event.F("seed", config.Experiment.Seed))
	outcomes, runErr := r.Run(ctx)
	log.Emit(event.LoadFinished, "", event.F("requests", len(outcomes)))
	if err := c.writeResults(config, outcomes, runErr != nil); err != nil {
		return err
	}
	return errors.WithMessage(runErr, "the run stopped early")
}

func (c *runCommand) waitReady(ctx context.Context, t *runner.Targets) error {
	ctx, cancel := context.WithTimeout(ctx, c.readyTimeout)
	defer cancel()
	return runner.WaitReady(ctx, t)
}

// writeResults writes the answers, the report and the plot, and prints the report.
func (c *runCommand) writeResults(config runner.Config, outcomes []outcome.Outcome, stopped bool) error {
	in := report.Input{
		Label:       c.label,
		Experiment:  config.Experiment,
		Classes:     classNames(config.Catalogue),
		Outcomes:    outcomes,
		RetryBudget: config.Catalogue.Retry.BudgetPerRequest,
	}
	r := report.New(in)
	r.Stopped = stopped
	err := r.AddIdeal(in, func(p *experiment.Phase) ([]ideal.Rate, error) {
		return ideal.PhaseRates(config.Catalogue, config.Deployment, p)
	})
	if err != nil {
		return err
	}
	answers, err := os.Create(filepath.Join(c.out, fileAnswers))
	if err != nil {
		return errors.Wrap(err, "write answers")
	}
	if err := outcome.Write(answers, outcomes); err != nil {
		return err
	}
	if err := answers.Close(); err != nil {
		return errors.Wrap(err, "write answers")
	}
	if err := r.WriteFile(filepath.Join(c.out, fileReport)); err != nil {
		return err
	}
	if err := chart.WriteFile(filepath.Join(c.out, filePlot), []*report.Report{r}); err != nil {
		return err
	}
	return r.WriteText(os.Stdout)
}

func classNames(c *catalogue.Catalogue) []string {
	names := make([]string, 0, len(c.Classes))
	for i := range c.Classes {
		names = append(names, c.Classes[i].Name)
	}
	return names
}

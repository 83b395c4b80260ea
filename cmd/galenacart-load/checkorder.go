package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/galenacart/galenacart/internal/load/priorityinversion"
	"github.com/galenacart/galenacart/internal/load/report"
)

// checkOrderCommand finds priority inversions: requests that were refused while less
// important ones that arrived later were started.
type checkOrderCommand struct {
	deploymentFlags deploymentFlags
	resultFlags     resultFlags
}

func (*checkOrderCommand) Name() string { return "check-order" }
func (*checkOrderCommand) Synopsis() string {
	return "find requests refused while less important later ones were started"
}

func (*checkOrderCommand) Usage() string {
	return `galenacart-load check-order -catalogue FILE -deployment FILE -answers FILE [-report FILE] TRUTH...
TRUTH... are the logs of all endpoints of a run. The run must have used one machine, because
timestamps of different processes are compared. Counts requests that were refused for lack of
capacity or time although every service that refused them started a less important request
that arrived later, and prints the first of them.
-report adds the counts to a report.
Exit codes: 0 no such request, 1 at least one such request, or the output failed,
2 bad usage or input.
`
}

func (c *checkOrderCommand) SetFlags(f *flag.FlagSet) {
	c.deploymentFlags.setFlags(f)
	c.resultFlags.setFlags(f)
}

// Execute prints the counts and the first violations.
func (c *checkOrderCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	routes, err := c.routes()
	if err != nil {
		return badUsage(err)
	}
	records, answers, err := c.resultFlags.read(f)
	if err != nil {
		return badUsage(err)
	}
	result := priorityinversion.Check(records, answers, routes)
	counts := &report.PriorityInversions{Refused: result.Refused, Violations: len(result.Violations)}
	if err := c.resultFlags.updateReport(func(r *report.Report) { r.PriorityInversions = counts }); err != nil {
		return reportFailure(err)
	}
	if err := result.WriteText(os.Stdout); err != nil {
		return reportFailure(err)
	}
	if counts.Violations > 0 {
		return reportFailure(fmt.Errorf("%d requests refused while a later, less important one was started", counts.Violations))
	}
	return subcommands.ExitSuccess
}

func (c *checkOrderCommand) routes() (priorityinversion.Routes, error) {
	cat, d, err := c.deploymentFlags.read()
	if err != nil {
		return nil, err
	}
	routes, err := priorityinversion.NewRoutes(cat, d)
	return routes, errors.WithMessage(err, "-deployment")
}

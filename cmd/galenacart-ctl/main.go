// Command galenacart-ctl checks documents and shows the state of nodes. It is
// read-only: operators change the behaviour of nodes by editing the catalogue.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/program"
)

// programName is the name of the command.
const programName = "galenacart-ctl"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one subcommand and returns the exit code: 0 success, 1 failure or a
// negative result, 2 bad usage.
func run(args []string, stdout, stderr io.Writer) int {
	p := program.Program{Name: programName, Out: stdout, Errors: stderr}
	return p.Run(args, func(c *subcommands.Commander) { register(c, output{stdout, stderr}) })
}

func register(c *subcommands.Commander, o output) {
	c.Register(&checkCatalogueCommand{output: o}, "documents")
	c.Register(&checkSettingsCommand{output: o}, "documents")
	c.Register(&diffCommand{output: o}, "documents")
	c.Register(&statusCommand{output: o}, "nodes")
	c.Register(&whyCommand{output: o}, "nodes")
	c.Register(&timelineCommand{output: o}, "nodes")
	c.Register(&lossesCommand{output: o}, "nodes")
	c.Register(&crashesCommand{output: o}, "nodes")
}

// output holds the writers of a command.
type output struct {
	out, errors io.Writer
}

// fail prints an error and returns the exit status for a failure.
func (o output) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(o.errors, err) // there is no other place to report an error
	return subcommands.ExitFailure
}

// usageError prints an error in the arguments and returns the exit status for it.
func (o output) usageError(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(o.errors, programName+": "+format+"\n", args...) // there is no other place to report an error
	return subcommands.ExitUsageError
}

// print writes one line of the result.
func (o output) print(format string, args ...any) {
	_, _ = fmt.Fprintf(o.out, format+"\n", args...) // there is no other place to report an error
}

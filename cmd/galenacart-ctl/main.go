// Command galenacart-ctl checks documents and shows what nodes do. It changes
// nothing: operators change behaviour by editing the catalogue.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/galenacart/galenacart/internal/program"
)

// name is the name of the command.
const name = "galenacart-ctl"

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one subcommand and returns the exit code: 0 done and good, 1
// failed or not good, 2 bad usage.
func run(args []string, stdout, stderr io.Writer) int {
	p := program.Program{Name: name, Out: stdout, Errors: stderr}
	return p.Run(args, func(c *subcommands.Commander) { register(c, terminal{stdout, stderr}) })
}

func register(c *subcommands.Commander, t terminal) {
	c.Register(&checkCatalogueCommand{terminal: t}, "documents")
	c.Register(&checkSettingsCommand{terminal: t}, "documents")
	c.Register(&diffCommand{terminal: t}, "documents")
	c.Register(&statusCommand{terminal: t}, "nodes")
	c.Register(&whyCommand{terminal: t}, "nodes")
	c.Register(&timelineCommand{terminal: t}, "nodes")
	c.Register(&lossesCommand{terminal: t}, "nodes")
	c.Register(&crashesCommand{terminal: t}, "nodes")
}

// terminal is where a command writes.
type terminal struct {
	out, errors io.Writer
}

// fail reports an error that the command met.
func (t terminal) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(t.errors, err) // there is nowhere else to report to
	return subcommands.ExitFailure
}

// misuse reports wrong arguments.
func (t terminal) misuse(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(t.errors, name+": "+format+"\n", args...) // there is nowhere else to report to
	return subcommands.ExitUsageError
}

// print writes one line of the result.
func (t terminal) print(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, format+"\n", args...) // there is nowhere else to report to
}

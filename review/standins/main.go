// Command standins plays one case of the review: it starts nodes of the project as separate
// processes, with a store, instances and clients of its own that follow the platform's pages.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the longest time that a case may take.
const caseTimeout = 100 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// caseFunc plays a case. trouble is false for the run without the disruption.
type caseFunc func(f *fleet, trouble bool) (verdict, error)

// caseEntry is a case and the fleet that it needs.
type caseEntry struct {
	fleet fleetSpec
	play  caseFunc
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "`name` of the case")
	program := flag.String("program", "target/galenacart-node", "the node's `program`")
	folder := flag.String("folder", ".", "`folder` of record.txt")
	flag.Parse()
	entry, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.logf("case %s, with the disruption: %v", *name, trouble)
	f, err := newFleet(record, *program, &entry.fleet)
	defer f.close()
	if err != nil {
		record.logf("could not run: %v", err)
		return exitNotRun
	}
	return playUntilTimeout(f, entry.play, trouble)
}

// playUntilTimeout plays a case and returns its exit code.
func playUntilTimeout(f *fleet, play caseFunc, trouble bool) int {
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(f, trouble)
		done <- result{v, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		return f.record.finish(r.verdict, r.err)
	case <-interrupted:
		f.record.logf("could not run: interrupted")
	case <-time.After(caseTimeout):
		f.record.logf("could not run: not over after %v", caseTimeout)
	}
	return exitNotRun
}

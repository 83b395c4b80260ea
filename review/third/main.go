// Command third runs the scripted cases of the third independent review: the project's nodes as
// separate processes, and stand-ins for the store, instances and clients of the platform's pages.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the time after which a case ends by itself.
const caseTimeout = 115 * time.Second

// run is one run of a case.
type run struct {
	*fleet
	trouble bool // the disruption happens
}

// cases maps the names of the cases to what they do. Each returns whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"drain": runDrain,
	"stop":  runStop,
	"late":  runLate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(body func(*run) (bool, error), recordFile string) int {
	f, err := newFleet(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "third:", err)
		return exitNotRun
	}
	defer f.close()
	done := make(chan int, 1)
	go func() {
		broken, err := body(&run{fleet: f, trouble: os.Getenv("TROUBLE") != "0"})
		switch {
		case err != nil:
			f.log("the case could not run: %v", err)
			done <- exitNotRun
		case broken:
			f.log("result: the rule was broken")
			done <- exitBroken
		default:
			f.log("result: the rule held")
			done <- exitHeld
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-done:
		return code
	case <-stop:
		f.log("the case was stopped")
	case <-time.After(caseTimeout):
		f.log("the case took too long")
	}
	return exitNotRun
}

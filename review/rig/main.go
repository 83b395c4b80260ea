// Program rig runs the cases 6 to 10 of the review: it plays the platform, the instances and the
// clients as the platform's pages describe them, and starts the project's nodes as processes.
//
// Usage, in the repository: rig CASE FOLDER. The record goes to record.txt in the folder. The exit
// status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 in
// the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
)

// unable is the exit status of a case that could not run.
const unable = 2

// scenario plays one case and judges it.
type scenario func(f *fleet, trouble bool) (verdict, error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"stop": playStop, "poison": playPoison, "silence": playSilence, "service": playService, "config": playConfig,
	}
}

func main() {
	if len(os.Args) != 3 || scenarios()[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(unable)
	}
	result, err := play(scenarios()[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(unable)
	}
	os.Exit(int(result))
}

// play runs a scenario with a temporary folder and ends everything that it started.
func play(one scenario, folder string, trouble bool) (verdict, error) {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return held, err
	}
	defer r.close()
	scratch, err := os.MkdirTemp("", "review")
	if err != nil {
		return held, err
	}
	defer func() { _ = os.RemoveAll(scratch) }() // a temporary folder
	f, err := newFleet(r, scratch)
	if err != nil {
		return held, err
	}
	defer f.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		f.end()
		os.Exit(unable)
	}()
	result, err := one(f, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
	case result == broken:
		r.note("verdict: the rule was broken")
	default:
		r.note("verdict: the rule held")
	}
	return result, err
}

// Command standin-2 plays one case of the second review: it starts the project's programs as
// separate processes beside stand-ins of the platform's store, of runners and of clients, and
// judges by what these have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*lab) (bool, error){
	"crash":      lastingTaskCrashesRunners,
	"quarantine": hopelessTasksHoldAllRunners,
	"evict":      lastingFillersAreEvicted,
	"late":       cancelledBeforeLateWrite,
	"kind":       newBootOfAnotherKind,
	"roll":       rollAfterLostMachine,
	"fill":       fillersNeverStart,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*lab) (bool, error), record string) int {
	l, err := newLab(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	broken, err := play(l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		l.note("the rule was broken")
		return exitBroken
	}
	l.note("the rule held")
	return exitHeld
}

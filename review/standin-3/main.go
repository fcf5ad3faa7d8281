// Package main plays the scripted cases of the third review: it starts the project's own programs as
// processes, beside stand-ins of the platform's store, of runners and of a client, and judges what those
// have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	usage   = "usage: review-3 CASE FOLDER"
	trouble = "TROUBLE"
)

// cases are the scripted cases by name. Each returns what breaks its rule.
var cases = map[string]scriptedCase{
	"occurrences": {play: occurrences, runnersPerZone: 2},
	"rack":        {play: rack, runnersPerZone: 4},
	"heartbeat":   {play: heartbeat, runnersPerZone: 2},
	"lasting":     {play: lasting, runnersPerZone: 2},
	"latestart":   {play: lateStart, runnersPerZone: 3},
	"deadly":      {play: deadly, runnersPerZone: 4},
}

// scriptedCase is a case.
type scriptedCase struct {
	play           func(d *deployment, disturbed bool) ([]string, error)
	runnersPerZone int
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]].play == nil {
		fmt.Fprintln(os.Stderr, usage)
		return notRun
	}
	found, err := play(args[0], args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return notRun
	}
	if len(found) > 0 {
		return broken
	}
	return held
}

// play plays a case and writes its record.
func play(name, folder string) (found []string, err error) {
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(temporary)
	} else {
		fmt.Println("logs:", temporary)
	}
	rec := newRecord()
	d, err := newDeployment(temporary, cases[name].runnersPerZone, rec)
	if err != nil {
		return nil, err
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return nil, err
	}
	disturbed := os.Getenv(trouble) != "0"
	found, err = cases[name].play(d, disturbed)
	if err != nil {
		return nil, err
	}
	verdict := []string{fmt.Sprintf("disturbed: %t; runs started: %d; rule broken %d times", disturbed, rec.starts(), len(found))}
	verdict = append(verdict, found...)
	for _, l := range verdict[:min(len(verdict), 6)] {
		fmt.Println(l)
	}
	return found, rec.write(filepath.Join(folder, "record.txt"), verdict)
}

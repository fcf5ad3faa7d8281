// Command standin plays the cases of the review: it starts the project's own programs as separate
// processes, together with small stand-ins of the store, the runners and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cantRun   = 2
	usageText = "usage: standin CASE FOLDER"
)

// testCase plays a case and returns what breaks the rule, empty if nothing does.
type testCase func(f *fleet, trouble bool) (finding string, err error)

var cases = map[string]testCase{"listing": listing, "route": droppedRoute, "probation": gangAfterQuarantine}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println(usageText)
		return cantRun
	}
	rec := newRecorder()
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println("can't run:", err)
		return cantRun
	}
	defer f.stop()
	finding, err := cases[os.Args[1]](f, trouble)
	code := held
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		code = cantRun
	case finding != "":
		rec.add("BROKEN: %s", finding)
		code = broken
	default:
		rec.add("the rule held")
	}
	if err := rec.save(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Println("can't run:", err)
		return cantRun
	}
	fmt.Println(rec.lines[len(rec.lines)-1])
	return code
}

// begin starts entries, agents and runners, and waits until a first small submission is completed.
func (f *fleet) begin(entries, agents, runners int, routes ...route) error {
	f.putConfig(3, routes...)
	for range entries {
		if _, err := f.addEntry(); err != nil {
			return err
		}
	}
	for n := range agents {
		if err := f.addAgent(); err != nil {
			return err
		}
		if n < runners {
			if err := f.addRunner(n); err != nil {
				return err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	const first = "00000000000000f0"
	if err := f.submit(routes[0].Prefix, first, []step{{Count: 3, CPU: 500, Mem: 256, Estimate: 100}}, behaviour{duration: 100 * time.Millisecond}); err != nil {
		return err
	}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(5 * pollPause) {
		if f.state(routes[0].Prefix, first) == "completed" {
			time.Sleep(2 * time.Second) // all runners are known by then
			return nil
		}
	}
	return errors.New("the first submission isn't completed in time")
}

// listing: many small tasks end while the store is down. A runner lists 500 ends at a time.
func listing(f *fleet, trouble bool) (string, error) {
	const (
		submissions, tasks = 16, 150
		downFor            = 4500 * time.Millisecond // platform_down of caroni-label
	)
	if err := f.begin(2, 3, 3, f.route("r-batch", "/lohu930/", 0)); err != nil {
		return "", err
	}
	spread := func(index int) time.Duration { return time.Duration(index) * 20 * time.Millisecond }
	for n := range submissions {
		id := fmt.Sprintf("%016x", 0xa000+n)
		if err := f.submit("/lohu930/", id, []step{{Count: tasks, CPU: 20, Mem: 8, Estimate: 4500}}, behaviour{duration: 3 * time.Second, spread: spread}); err != nil {
			return "", err
		}
	}
	ours := func(task string) bool { return strings.HasPrefix(task, "000000000000a0") }
	for until := time.Now().Add(8 * time.Second); len(f.rec.startsOf(ours)) < submissions*tasks; time.Sleep(pollPause / 5) {
		if time.Now().After(until) {
			return "", fmt.Errorf("only %d tasks have started in time", len(f.rec.startsOf(ours)))
		}
	}
	if trouble {
		f.rec.add("the store is down")
		f.store.setDown(true)
		time.Sleep(downFor)
		f.store.setDown(false)
		f.rec.add("the store is back")
	}
	time.Sleep(16 * time.Second)
	return f.startsAfterDone(ours), nil
}

// startsAfterDone returns the starts after a run of the task has ended done, if that end was taken note
// of and no lease lapsed between the two.
func (f *fleet) startsAfterDone(match func(string) bool) string {
	done := make(map[string]endSeen) // the first of each task
	for _, e := range f.rec.endsOf(match) {
		if _, known := done[e.task]; e.how == "done" && !known {
			done[e.task] = e
		}
	}
	count, example := 0, ""
	for _, s := range f.rec.startsOf(match) {
		e, ok := done[s.task]
		noted, taken := f.rec.takenNote(e)
		if !ok || !taken || s.at.Before(e.at) || f.rec.lapsedBetween(e.runner, e.at, noted) {
			continue
		}
		if count++; count == 1 {
			example = fmt.Sprintf("task %s ended done in run %d at %s, %s (N %d), which was taken note of at %s, and was started again as run %d at %s, %s",
				s.task, e.run, e.runner, f.rec.at(e.at), e.n, f.rec.at(noted), s.run, s.runner, f.rec.at(s.at))
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d starts of tasks after a run of them had ended done. The first: %s", count, example)
}

// droppedRoute: a config drops a route whose submission is at work, and then the owner is killed.
func droppedRoute(f *fleet, trouble bool) (string, error) {
	const (
		id       = "00000000000000a1"
		finish   = 14 * time.Second // finish_s
		idleFor  = 3 * time.Second
		firstRun = 6 * time.Second
	)
	kept, dropped := f.route("r-kept", "/pule252/", 0), f.route("r-dropped", "/lohu930/", 0)
	if err := f.begin(2, 3, 3, kept, dropped); err != nil {
		return "", err
	}
	steps := []step{{Count: 2, CPU: 500, Mem: 256, Estimate: 6000}, {Count: 2, CPU: 500, Mem: 256, Estimate: 500, After: []int{0}}}
	if err := f.submit(dropped.Prefix, id, steps, behaviour{duration: firstRun}, behaviour{duration: 500 * time.Millisecond}); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	f.putConfig(7, kept)
	time.Sleep(3 * time.Second) // over config_apply_ms
	if trouble {
		p := f.lastWriter()
		if p == nil {
			return "", errors.New("no owner is known")
		}
		f.kill(p)
		time.Sleep(500 * time.Millisecond)
		if err := f.run(p); err != nil {
			return "", err
		}
	}
	first := func(task string) bool { return strings.HasPrefix(task, id+".0.0.") }
	second := func(task string) bool { return strings.HasPrefix(task, id+".0.1.") }
	for until := time.Now().Add(20 * time.Second); len(f.endsDone(first)) < 2; time.Sleep(pollPause) {
		if time.Now().After(until) {
			return "", errors.New("the first step isn't done in time")
		}
	}
	f.rec.add("the first step is done, the turn of the second has come")
	time.Sleep(finish)
	f.rec.add("finish_s is over; from now on something of the submission has to run within 3 s")
	time.Sleep(idleFor)
	if starts := f.rec.startsOf(second); len(starts) > 0 {
		f.rec.add("the second step was started at %s", f.rec.at(starts[0].at))
		return "", nil
	}
	// The queue's other submissions, of a route that stays, run: the fleet is sound and idle.
	const other = "00000000000000b1"
	if err := f.submit(kept.Prefix, other, []step{{Count: 2, CPU: 500, Mem: 256, Estimate: 500}}, behaviour{duration: 500 * time.Millisecond}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	f.rec.add("another submission is %s", f.state(kept.Prefix, other))
	return "LOST: an accepted submission that nobody has cancelled has nothing running, though the turn of its second step came over 17 s ago and the runners are idle", nil
}

func (f *fleet) endsDone(match func(string) bool) (found []endSeen) {
	for _, e := range f.rec.endsOf(match) {
		if e.how == "done" {
			found = append(found, e)
		}
	}
	return found
}

// gangAfterQuarantine: a runner fails all that it starts for some seconds. When it is sound again, a gang
// comes that needs its kind.
func gangAfterQuarantine(f *fleet, trouble bool) (string, error) {
	const (
		ordinary, id = "00000000000000c1", "00000000000000a1"
		failsFor     = 6500 * time.Millisecond // srv_grey of caroni-label
		calm         = 10 * time.Second        // over contact_ms
		finish       = 14 * time.Second        // finish_s
		idleFor      = 3 * time.Second
		runners      = 11
	)
	f.rareKind = runners
	if err := f.begin(4, runners, runners, f.route("r-batch", "/lohu930/", 0)); err != nil {
		return "", err
	}
	rare := f.runners[runners-1]
	if trouble {
		rare.setFailing(true)
	}
	if err := f.submit("/lohu930/", ordinary, []step{{Count: 44, CPU: 480, Mem: 960, Estimate: 1000}}, behaviour{duration: time.Second}); err != nil {
		return "", err
	}
	time.Sleep(failsFor)
	if trouble {
		rare.setFailing(false)
	}
	time.Sleep(calm)
	if s := f.state("/lohu930/", ordinary); s != "completed" {
		return "", fmt.Errorf("the ordinary submission is %s", s)
	}
	steps := []step{{Count: 2, CPU: 3500, Mem: 6400, Estimate: 1000, Gang: true, Requirements: "b"}}
	if err := f.submit("/lohu930/", id, steps, behaviour{duration: time.Second, gang: 2}); err != nil {
		return "", err
	}
	time.Sleep(finish)
	f.rec.add("finish_s is over; from now on something of the gang has to run within 3 s")
	time.Sleep(idleFor)
	ours := func(task string) bool { return strings.HasPrefix(task, id) }
	if len(f.rec.startsOf(ours)) > 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: the gang is %s and none of its tasks was ever started, 17 s after it was accepted; its runner has been sound for 27 s and runs nothing", f.state("/lohu930/", id)), nil
}

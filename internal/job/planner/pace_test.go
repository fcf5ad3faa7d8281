package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// overTargetBound is how long without interruption a long-running task may be over its target
// while best-effort tasks on its VM make progress; an order takes 100 ms to have an effect.
const overTargetBound = 4*time.Second - 100*time.Millisecond

// newPacedFixture returns a VM with a long-running and a best-effort task.
func newPacedFixture() (b *fixture, longRunning, bestEffort *tracker.Run) {
	b = newFixture()
	vm := b.vm("vm", "in", "r1", cores(32))
	for i, s := range []specifier.Step{
		{Count: 1, Needs: cores(8), LongRunning: true, TailMillis: 20, Image: "l"},
		{Count: 1, Needs: cores(8), BestEffort: true, Image: "f"},
	} {
		j := b.job("q", s)
		r := b.state.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		r.State, r.StartedAt, r.Progress = tracker.Running, begin, 100
		if i == 0 {
			longRunning = r
		} else {
			bestEffort = r
		}
	}
	return b, longRunning, bestEffort
}

// replayTails applies tail latencies, one per 300 ms, and returns the pace after each.
func replayTails(b *fixture, longRunning, bestEffort *tracker.Run, tails []int64) []int {
	var paces []int
	for i, tail := range tails {
		longRunning.Measure = tail
		for _, p := range Paces(Input{Now: begin.Add(time.Duration(i) * 300 * time.Millisecond), State: b.state}) {
			p.Run.Pace = p.Percent
		}
		paces = append(paces, bestEffort.Pace)
	}
	return paces
}

func repeat(tail int64, n int) []int64 {
	var all []int64
	for range n {
		all = append(all, tail)
	}
	return all
}

// Guards against users who wait too long because of a best-effort task. The long-running task
// stays over its target however much the other one is throttled: that one must be throttled
// to zero before the bound.
func TestBestEffortStallsBeforeBound(t *testing.T) {
	b, longRunning, bestEffort := newPacedFixture()
	paces := replayTails(b, longRunning, bestEffort, repeat(40, 20))
	for i, p := range paces {
		if time.Duration(i)*300*time.Millisecond >= overTargetBound && p != 0 {
			t.Fatalf("%d ms over target, and the pace is %d%%", i*300, p)
		}
	}
	if paces[1] != paceFull {
		t.Errorf("a single report over target throttles")
	}
}

func TestBestEffortSpeedsUpAgain(t *testing.T) {
	b, longRunning, bestEffort := newPacedFixture()
	paces := replayTails(b, longRunning, bestEffort, append(repeat(40, 10), repeat(5, 14)...))
	if got := paces[len(paces)-1]; got != paceFull {
		t.Errorf("4 s under target, and the pace is %d%%", got)
	}
}

func TestShortPeaksDoNotThrottle(t *testing.T) {
	b, longRunning, bestEffort := newPacedFixture()
	for i, p := range replayTails(b, longRunning, bestEffort, []int64{5, 40, 40, 5, 5, 40, 5, 40, 40, 5}) {
		if p != paceFull {
			t.Errorf("pace %d%% after report %d", p, i)
		}
	}
}

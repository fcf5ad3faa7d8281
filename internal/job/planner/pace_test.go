package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
)

// harmBound is how long on end a lasting task may be over its target while the
// tasks that fill beside it work on; an order takes 100 ms to work.
const harmBound = 4*time.Second - 100*time.Millisecond

// pacedBed has a VM with a lasting task and one that fills.
func pacedBed() (b *bed, lasting, fill *accountant.Run) {
	b = newBed()
	vm := b.vm("vm", "in", "r1", cores(32))
	for i, s := range []specifier.Step{
		{Count: 1, Needs: cores(8), Lasting: true, TailMillis: 20, Image: "l"},
		{Count: 1, Needs: cores(8), Fills: true, Image: "f"},
	} {
		j := b.job("q", s)
		r := b.state.Place(j.Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		r.State, r.StartedAt, r.Progress = accountant.Running, begin, 100
		if i == 0 {
			lasting = r
		} else {
			fill = r
		}
	}
	return b, lasting, fill
}

// play feeds tails, one for each step of 300 ms, and returns the pace after each.
func play(b *bed, lasting, fill *accountant.Run, tails []int64) []int {
	var paces []int
	for i, tail := range tails {
		lasting.Measure = tail
		for _, p := range Paces(Input{Now: begin.Add(time.Duration(i) * 300 * time.Millisecond), State: b.state}) {
			p.Run.Pace = p.Percent
		}
		paces = append(paces, fill.Pace)
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

// The users of a lasting task wait too long, since a task fills beside it. It stays
// over its target however much the other one is slowed down: before the bound the
// other one must stand still.
func TestFillsStandStillBeforeTheBound(t *testing.T) {
	b, lasting, fill := pacedBed()
	paces := play(b, lasting, fill, repeat(40, 20))
	for i, p := range paces {
		if time.Duration(i)*300*time.Millisecond >= harmBound && p != 0 {
			t.Fatalf("%d ms over target, and the pace is %d%%", i*300, p)
		}
	}
	if paces[1] != paceFull {
		t.Errorf("one report over target slows down at once")
	}
}

func TestFillsSpeedUpAgain(t *testing.T) {
	b, lasting, fill := pacedBed()
	paces := play(b, lasting, fill, append(repeat(40, 10), repeat(5, 14)...))
	if got := paces[len(paces)-1]; got != paceFull {
		t.Errorf("4 s under target, and the pace is %d%%", got)
	}
}

func TestShortPeaksDoNotSlowDown(t *testing.T) {
	b, lasting, fill := pacedBed()
	for i, p := range play(b, lasting, fill, []int64{5, 40, 40, 5, 5, 40, 5, 40, 40, 5}) {
		if p != paceFull {
			t.Errorf("pace %d%% after report %d", p, i)
		}
	}
}

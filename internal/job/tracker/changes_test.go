package tracker

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"bamboospread/internal/job/specifier"
)

// Guards against an owner whose periodic checks take all its time on a large fleet: they look at the
// VMs that have changed and at a fixed number in all, and still at each VM in turn.
func TestChecksLookAtWhatHasChanged(t *testing.T) {
	const vms, least = 1000, 100
	tr := newState(t, 3)
	for n := range vms {
		attach(tr, fmt.Sprintf("vm-%04d", n))
	}
	if got := len(tr.VMsToCheck(least)); got != vms {
		t.Fatalf("%d VMs checked after all have reported, want %d", got, vms)
	}
	visited := make(map[*VM]bool)
	for range vms / least {
		checked := tr.VMsToCheck(least)
		if len(checked) != least {
			t.Fatalf("%d VMs checked without a change, want %d", len(checked), least)
		}
		for _, vm := range checked {
			visited[vm] = true
		}
	}
	if len(visited) != vms {
		t.Errorf("%d of %d VMs were checked in turn", len(visited), vms)
	}
	changed := tr.SortedVMs()[700]
	tr.Apply(changed, Report{Incarnation: "1", Ready: true}, at(100))
	found := false
	for _, vm := range tr.VMsToCheck(least) {
		found = found || vm == changed
	}
	if !found {
		t.Error("a VM that has reported is not checked")
	}
}

// Guards against an owner that handles each event more slowly the more jobs have ended and the more
// VMs there are: with nothing to store, a flush must look at neither.
func TestFlushWithoutChangesCostsNothing(t *testing.T) {
	tr := newState(t, 3)
	for n := range 2000 {
		attach(tr, fmt.Sprintf("vm-%04d", n))
		addJob(t, tr, n+1, specifier.Step{Count: 1, Needs: oneCore})
		tr.Cancel(jobID(n+1), at(10))
	}
	states := make(map[string]JobState)
	f := tr.BeginFlush()
	for _, j := range f.Jobs {
		states[j.Spec.ID] = j.State
	}
	if tr.EndFlush(f, states); len(states) != 2000 {
		t.Fatalf("%d jobs stored", len(states))
	}
	if got := testing.AllocsPerRun(100, func() {
		if !tr.BeginFlush().Empty() {
			t.Error("there is something to store")
		}
	}); got > 1 {
		t.Errorf("%.0f allocations, want that of the result only", got)
	}
}

// Guards against runs that are never stopped: whatever makes a run unneeded must make the next check
// look at its VM. The walk over all VMs is the oracle.
func TestUnwantedRunsAreFoundByTheNextCheck(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := New(Config{Policy: &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 2, Slack: 2}}}})
		vms, ends := make([]*VM, 4), make(map[*VM]int64)
		for n := range vms {
			vms[n] = attach(tr, fmt.Sprint("vm-", n))
		}
		for n := range 3 {
			tr.AddJob(&specifier.Job{ID: jobID(n + 1), Queue: "q", Steps: []specifier.Step{
				{Count: 2, Needs: oneCore, Copies: n == 1}, {Count: 2, Needs: oneCore, Gang: n == 2},
			}}, at(0), at(0))
		}
		tr.Reconcile(true, at(1))
		report := func(vm *VM, rep Report) {
			rep.Incarnation, rep.Ready, rep.OrdersSeen = "1", true, vm.OrderSeq
			for key := range vm.Runs {
				ended := false
				for _, e := range rep.Ends {
					ended = ended || e.Key == key
				}
				if !ended {
					rep.Runs = append(rep.Runs, ReportedRun{Key: key, Confirmed: true})
				}
			}
			tr.Apply(vm, rep, at(100))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				checked := make(map[*Run]bool)
				for _, r := range Unwanted(tr.VMsToCheck(0)) {
					checked[r] = true
				}
				for _, r := range Unwanted(tr.SortedVMs()) {
					if !checked[r] {
						rt.Fatalf("run %v on %s is not found", r.Key(), r.VM.Name)
					}
					tr.Stop(r, "job ended", at(100))
				}
			},
			"place": func(rt *rapid.T) {
				vm := rapid.SampledFrom(vms).Draw(rt, "vm")
				for _, s := range tr.OpenSteps() {
					for _, task := range s.Tasks {
						if (task.Waits(at(100)) || s.Spec.Copies && !task.Done) && len(task.Runs) < 2 && !task.RunsOn(vm) {
							tr.Place(task, vm, tr.NextNumber(task), at(100))
							return
						}
					}
				}
			},
			"end": func(rt *rapid.T) {
				vm := rapid.SampledFrom(vms).Draw(rt, "vm")
				if len(vm.Runs) == 0 {
					return
				}
				first := slices.SortedFunc(maps.Keys(vm.Runs), func(a, b RunKey) int {
					if a.Less(b) {
						return -1
					}
					return 1
				})[0]
				ends[vm]++
				report(vm, Report{Ends: []ReportedEnd{{Seq: ends[vm], Key: first, Outcome: rapid.SampledFrom([]End{EndDone, EndFailed, EndStopped}).Draw(rt, "outcome")}}})
			},
			"report a run that was not ordered": func(rt *rapid.T) {
				vm := rapid.SampledFrom(vms).Draw(rt, "vm")
				id := task(rapid.IntRange(1, 3).Draw(rt, "job"), 0, rapid.IntRange(0, 1).Draw(rt, "task"))
				report(vm, Report{Runs: []ReportedRun{{Key: RunKey{id, 100 + ends[vm]}, Confirmed: true, Needs: oneCore}}})
			},
			"cancel": func(rt *rapid.T) {
				tr.Cancel(jobID(rapid.IntRange(1, 3).Draw(rt, "job")), at(100))
			},
		})
	})
}

// Guards against a task that runs twice for longer than need be: its first run was being stopped, so the
// second one was needed; then the first is not being stopped any more, which only its own VM reports.
func TestRunOnOtherVMIsCheckedWhenStopIsLost(t *testing.T) {
	tr := newState(t, 3)
	j := addJob(t, tr, 1, specifier.Step{Count: 1, Needs: oneCore})
	first, second := attach(tr, "vm-1"), attach(tr, "vm-2")
	run := tr.Place(j.Occurrences[0].Steps[0].Tasks[0], first, 1, begin)
	tr.Stop(run, "can continue elsewhere", at(10))
	tr.Apply(second, Report{Incarnation: "1", Ready: true, Runs: []ReportedRun{{Key: key(1, 0, 0, 2), Confirmed: true, Needs: oneCore}}}, at(20))
	if got := Unwanted(tr.VMsToCheck(0)); len(got) != 0 {
		t.Fatalf("%d runs are not needed while the first is being stopped", len(got))
	}
	tr.Apply(first, Report{Incarnation: "1", Ready: true, OrdersSeen: first.OrderSeq, Runs: []ReportedRun{{Key: key(1, 0, 0, 1), Confirmed: true}}}, at(30))
	if got := Unwanted(tr.VMsToCheck(0)); len(got) != 1 || got[0].VM != second {
		t.Errorf("runs that are not needed: %v, want the one on %s", got, second.Name)
	}
}

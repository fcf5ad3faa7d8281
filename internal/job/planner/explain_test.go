package planner

import (
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
)

// Guards against operators who cannot tell a restart that is delayed after failures from a lack of
// capacity.
func TestExplainNamesDelayedRestarts(t *testing.T) {
	tests := []struct {
		name    string
		delayed int // of two tasks
		want    string
	}{
		{"none", 0, "1 VMs without free capacity"},
		{"one of two", 1, "1 VMs without free capacity, 1 tasks restart within 500ms after failures"},
		{"both", 2, "2 tasks restart within 500ms after failures"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture()
			vm := b.vm("vm", "in", "r1", cores(1))
			s := b.job("q", specifier.Step{Count: 2, Needs: cores(1), LongRunning: true}).Occurrences[0].Steps[0]
			for _, task := range s.Tasks[:tt.delayed] {
				for run := range int64(2) {
					b.state.Place(task, vm, run+1, begin)
					b.state.EndRun(vm, tracker.RunKey{Task: task.ID(), Number: run + 1}, tracker.EndFailed, "", begin)
				}
			}
			vm.Health = tracker.Health{} // the failures are those of the tasks
			vm.Capacity = cores(0)
			if got := Explain(Input{Now: begin, State: b.state}, s); got != tt.want {
				t.Errorf("explanation is %q, want %q", got, tt.want)
			}
			if got := Explain(Input{Now: begin.Add(time.Second), State: b.state}, s); got != tests[0].want {
				t.Errorf("explanation after the delay is %q, want %q", got, tests[0].want)
			}
		})
	}
}

// Guards against operators who read "with free capacity" of a VM that a task may not start on.
func TestExplainNamesTheLimitOfAVM(t *testing.T) {
	tests := []struct {
		name    string
		step    specifier.Step
		prepare func(b *fixture, vm *tracker.VM)
		want    string
	}{
		{"nothing in the way", specifier.Step{Count: 2, Needs: cores(1), Gang: true}, nil, "1 VMs with free capacity"},
		{"members that fit alone", specifier.Step{Count: 2, Needs: cores(5), Gang: true}, nil, "1 VMs without free capacity, 1 of 2 tasks that start together have a place"},
		{"a run on probation", specifier.Step{Count: 1, Needs: cores(1)}, func(b *fixture, vm *tracker.VM) {
			vm.Health.ConsecutiveQuarantines = 1
			b.state.Place(b.job("q", specifier.Step{Count: 1, Needs: cores(1)}).Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		}, "1 VMs on probation after a quarantine, until a run shows that the worker is sound"},
		{"a limit per VM", specifier.Step{Count: 2, Needs: cores(1), MaxPerVM: 1}, func(b *fixture, vm *tracker.VM) {
			b.state.Place(b.state.Jobs[jobID(1)].Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		}, "1 VMs at the limit for tasks of the step"},
		{"a limit for best-effort tasks", specifier.Step{Count: 1, Needs: cores(9), BestEffort: true}, func(b *fixture, vm *tracker.VM) {
			b.state.Place(b.job("q", specifier.Step{Count: 1, Needs: cores(9), BestEffort: true}).Occurrences[0].Steps[0].Tasks[0], vm, 1, begin)
		}, "1 VMs at the limit for best-effort tasks"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture()
			vm := b.vm("vm", "in", "r1", specifier.Resources{CPUMillis: 8000, MemoryMB: 64_000})
			s := b.job("q", tt.step).Occurrences[0].Steps[0]
			if tt.prepare != nil {
				tt.prepare(b, vm)
			}
			if got := Explain(Input{Now: begin, State: b.state}, s); got != tt.want {
				t.Errorf("explanation is %q, want %q", got, tt.want)
			}
		})
	}
}

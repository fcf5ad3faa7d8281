package planner

import (
	"testing"

	"bamboospread/internal/job/specifier"
)

// Guards against best-effort tasks that may run on every VM and take those that others depend on,
// whose jobs then wait while the other VMs are idle.
func TestFlexibleTasksLeaveScarceVMsToOthers(t *testing.T) {
	f := &mixedFleet{fixture: newFixture(), learner: trainedLearner(map[string][]string{"a": {"x"}, "b": nil}, "x", "z")}
	for n, image := range []string{"a", "b"} {
		needs := cores(16)
		if image == "b" { // the VM that x depends on has most idle processors
			needs = cores(8)
		}
		j := f.job("q", specifier.Step{Count: 1, Needs: needs, LongRunning: true, TailMillis: 18, Image: image})
		f.run(j.Occurrences[0].Steps[0].Tasks[0], f.vm(string(rune('1'+n)), "in", "r1", cores(32)))
	}
	work := func(image string, count int) {
		f.job("q", specifier.Step{Count: count, Needs: cores(8), EstimateMillis: 2000, BestEffort: true, Image: image})
	}
	const countX, countZ = 2, 2 // as many as each VM admits
	work("z", countZ)
	work("x", countX)
	started := make(map[string]map[string]int) // number of starts by image and VM
	for _, s := range Plan(Input{Now: begin, State: f.state, Learner: f.learner}) {
		image := s.Task.Step.Spec.Image
		if started[image] == nil {
			started[image] = make(map[string]int)
		}
		started[image][s.VM.Name]++
	}
	if started["x"]["2"] != countX || started["z"]["1"] != countZ {
		t.Errorf("starts by image and VM: %v; want those of z on VM 1 and those of x on VM 2", started)
	}
}

package accountant

import "time"

// DoubtLife is how long after it was sent a call without an answer may still be carried out:
// the users' platform names 12 s as the most.
const DoubtLife = 15 * time.Second

// doubt is a start that was not answered. It holds no task: that does the run, for as long as
// it is booked.
type doubt struct {
	sentAt  time.Time
	process int64 // of the agent that told of it; 0: one that has ended
}

// applyDoubts follows what the agent's process tells, and keeps what earlier ones told: a
// new one knows nothing of it, and neither does another life of the worker.
func (vm *VM) applyDoubts(rep Report, now time.Time) {
	for key, d := range vm.doubts {
		if d.process == rep.Process || now.Sub(d.sentAt) >= DoubtLife {
			delete(vm.doubts, key)
		}
	}
	for _, d := range rep.Doubts {
		vm.noteDoubt(d.Key, doubt{sentAt: now.Add(-d.Age), process: rep.Process})
	}
}

// releaseUncertain takes the runs that were ordered for a life of the worker that is over, and
// that no process of the agent has seen, for gone: another life refuses their starts.
func (vm *VM) releaseUncertain(now time.Time) {
	for key, r := range vm.Runs {
		if !r.Uncertain {
			continue
		}
		r.Uncertain, r.Order = false, 0
		vm.noteDoubt(key, doubt{sentAt: now})
	}
}

func (vm *VM) noteDoubt(key RunKey, d doubt) {
	if vm.doubts == nil {
		vm.doubts = make(map[RunKey]doubt)
	}
	vm.doubts[key] = d
}

// Inherited returns the starts that earlier processes of the VM's agent had in doubt.
func (vm *VM) Inherited(now time.Time) []ReportedDoubt {
	var all []ReportedDoubt
	for key, d := range vm.doubts {
		if d.process != vm.Process {
			all = append(all, ReportedDoubt{Key: key, Age: now.Sub(d.sentAt)})
		}
	}
	return all
}

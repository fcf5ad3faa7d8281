package tracker

import "time"

// UnconfirmedStartMaxAge is how long after a start call was sent without an answer the start
// may still be carried out. The users' platform documents a maximum of 12 s.
const UnconfirmedStartMaxAge = 15 * time.Second

// recordedStart is a start call that was not answered. It does not keep its task from starting
// elsewhere; the run does, for as long as it is counted on the VM.
type recordedStart struct {
	sentAt  time.Time
	process int64 // process of the agent that reported it; 0: one that has ended
}

// applyUnconfirmedStarts applies what the agent's process reports. Starts reported by earlier
// processes are kept: a new process does not know them, and neither does a new incarnation of
// the worker.
func (vm *VM) applyUnconfirmedStarts(rep Report, now time.Time) {
	for key, u := range vm.unconfirmedStarts {
		if u.process == rep.Process || now.Sub(u.sentAt) >= UnconfirmedStartMaxAge {
			delete(vm.unconfirmedStarts, key)
		}
	}
	for _, s := range rep.UnconfirmedStarts {
		vm.recordUnconfirmedStart(s.Key, recordedStart{sentAt: now.Add(-s.Age), process: rep.Process})
	}
}

// releaseUnconfirmedRuns makes the runs that were ordered for an ended incarnation of the
// worker, and that no process of the agent has listed, count as lost: another incarnation
// refuses their starts.
func (vm *VM) releaseUnconfirmedRuns(now time.Time) {
	for key, r := range vm.Runs {
		if !r.Unconfirmed {
			continue
		}
		r.Unconfirmed, r.Order = false, 0
		vm.recordUnconfirmedStart(key, recordedStart{sentAt: now})
	}
}

func (vm *VM) recordUnconfirmedStart(key RunKey, u recordedStart) {
	if vm.unconfirmedStarts == nil {
		vm.unconfirmedStarts = make(map[RunKey]recordedStart)
	}
	vm.unconfirmedStarts[key] = u
}

// InheritedStarts returns the unconfirmed starts of earlier processes of the VM's agent.
func (vm *VM) InheritedStarts(now time.Time) []UnconfirmedStart {
	var all []UnconfirmedStart
	for key, u := range vm.unconfirmedStarts {
		if u.process != vm.Process {
			all = append(all, UnconfirmedStart{Key: key, Age: now.Sub(u.sentAt)})
		}
	}
	return all
}

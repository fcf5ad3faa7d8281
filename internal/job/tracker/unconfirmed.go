package tracker

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// UnconfirmedStartMaxAge is how long after a start call was sent without an answer the start
// may still be carried out. The users' platform documents a maximum of 12 s.
const UnconfirmedStartMaxAge = 15 * time.Second

// maxUnansweredStarts is how many starts of a task in a row a worker may leave without an answer before none is sent
// to it. The task starts on another VM once none of them can be carried out any more.
const maxUnansweredStarts = 4

// recordedStart is a start call that was not answered. It keeps its task from starting on other VMs only if
// LateStarts is set; the run does, for as long as it is counted on the VM.
type recordedStart struct {
	sentAt   time.Time
	process  int64  // process of the agent that reported it; 0: one that has ended
	workerID string // of the worker that the call names, or of a later one
	earlier  int    // starts of the task on the VM before it that had no answer either
}

// applyUnconfirmedStarts applies what the agent's process reports. Starts reported by earlier
// processes are kept: a new process does not know them, and neither does a new incarnation of
// the worker.
func (vm *VM) applyUnconfirmedStarts(rep Report, now time.Time) {
	known := vm.unconfirmedStarts
	vm.unconfirmedStarts = nil
	for key, u := range known {
		if u.process != rep.Process && now.Sub(u.sentAt) < UnconfirmedStartMaxAge {
			vm.recordUnconfirmedStart(key, u)
		}
	}
	for _, s := range rep.UnconfirmedStarts {
		vm.recordUnconfirmedStart(s.Key, recordedStart{sentAt: now.Add(-s.Age), process: rep.Process, workerID: known[s.Key].workerID, earlier: known[s.Key].earlier})
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
		vm.recordUnconfirmedStart(key, recordedStart{sentAt: now, workerID: r.workerID})
	}
}

func (vm *VM) recordUnconfirmedStart(key RunKey, u recordedStart) {
	if vm.unconfirmedStarts == nil {
		vm.unconfirmedStarts = make(map[RunKey]recordedStart)
	}
	if u.workerID == "" {
		u.workerID = vm.WorkerID
	}
	before := 0
	for other, o := range vm.unconfirmedStarts {
		if other.Task == key.Task && other.Number < key.Number {
			before = max(before, o.earlier+1)
		}
	}
	u.earlier = max(u.earlier, before)
	vm.unconfirmedStarts[key] = u
}

// LateStart is a start without an answer that may still be carried out by a later incarnation of the worker.
type LateStart struct {
	vm      *VM
	earlier int
}

// VM returns the VM of the worker.
func (l LateStart) VM() *VM { return l.vm }

// Admits reports whether another start of the task on a VM is safe, and of use: on the same VM only, and not if
// the worker has left maxUnansweredStarts in a row without an answer.
func (l LateStart) Admits(vm *VM) bool { return l.vm == vm && l.earlier+1 < maxUnansweredStarts }

// LateStarts returns the starts that may still be carried out late, by their task. A start without an answer is
// given up once the worker's clock has passed its expiry. If the worker restarts under its ID, its clock begins
// anew, and it may carry the start out as its first call, beside a run on another VM. A later run on the same VM
// ends with that incarnation, or is preceded by a call that fences the start off.
func (tr *Tracker) LateStarts(now time.Time) map[specifier.TaskID][]LateStart {
	var found map[specifier.TaskID][]LateStart
	for _, vm := range tr.SortedVMs() {
		if !vm.LateStarts {
			continue
		}
		for key, u := range vm.unconfirmedStarts {
			if u.workerID != vm.WorkerID || now.Sub(u.sentAt) >= UnconfirmedStartMaxAge {
				continue // a worker with another ID refuses it
			}
			if found == nil {
				found = make(map[specifier.TaskID][]LateStart)
			}
			found[key.Task] = append(found[key.Task], LateStart{vm, u.earlier})
		}
	}
	return found
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

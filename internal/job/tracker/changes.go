package tracker

import (
	"cmp"
	"maps"
	"slices"
)

// What has changed since it was last looked at. The owner's periodic work goes by it, so that its cost
// depends on what happens and not on the number of VMs and of jobs.

// markDirty records that the progress of a job is to be stored.
func (j *Job) markDirty() {
	j.dirty = true
	j.version++
	if j.tracker != nil { // otherwise the job is not known, and its run was adopted to be stopped
		j.tracker.dirty[j] = true
	}
}

// touchVMs records that tasks have ended: the runs that they still have are not needed any more.
func touchVMs(tasks []*Task) {
	for _, t := range tasks {
		t.touchVMs()
	}
}

// touchVMs records a change of the task or of one of its runs that may decide which of its runs are
// needed, also on other VMs: only one is, and it is the first that is not being stopped.
func (t *Task) touchVMs() {
	for _, r := range t.Runs {
		r.VM.Version++
	}
}

func (tr *Tracker) addVM(vm *VM) {
	tr.VMs[vm.Name] = vm
	tr.sorted = nil
}

// ForgetVM removes a VM without runs.
func (tr *Tracker) ForgetVM(vm *VM) {
	delete(tr.VMs, vm.Name)
	delete(tr.unstored, vm)
	tr.sorted = nil
}

// SortedVMs returns all VMs, sorted by name. The slice must not be changed.
func (tr *Tracker) SortedVMs() []*VM {
	if tr.sorted == nil {
		tr.sorted = slices.SortedFunc(maps.Values(tr.VMs), func(a, b *VM) int { return cmp.Compare(a.Name, b.Name) })
	}
	return tr.sorted
}

// VMsToCheck returns the VMs that a periodic check should look at, sorted by name: those that have
// changed since they were last returned, and others in turn up to the given number in all.
func (tr *Tracker) VMsToCheck(least int) []*VM {
	all := tr.SortedVMs()
	if len(all) <= least {
		for _, vm := range all {
			vm.checkedVersion = vm.Version
		}
		return all
	}
	var found []*VM
	for _, vm := range all {
		if vm.Version != vm.checkedVersion {
			vm.checkedVersion = vm.Version
			found = append(found, vm)
		}
	}
	changed := found
	for examined := 0; len(found) < least && examined < len(all); examined++ {
		tr.checkNext = (tr.checkNext + 1) % len(all)
		vm := all[tr.checkNext]
		if _, listed := slices.BinarySearchFunc(changed, vm, func(a, b *VM) int { return cmp.Compare(a.Name, b.Name) }); !listed {
			found = append(found, vm)
		}
	}
	slices.SortFunc(found, func(a, b *VM) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

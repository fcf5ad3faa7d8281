package tracker

import "slices"

// Flush is one write of progress to the store: the jobs to write, and the run ends and crashes that may be
// acknowledged to each VM's agent once they are written.
type Flush struct {
	Jobs      []*Job
	snapshots []jobSnapshot // by the index of the job
	acks      []pendingAck
	crashAcks []pendingCrashAck
}

// jobSnapshot is what a flush writes of a job.
type jobSnapshot struct {
	version int64
	next    int // occurrence
}

type pendingAck struct {
	vm          *VM
	incarnation string
	seq         int64
}

type pendingCrashAck struct {
	vm      *VM
	process int64 // of the agent
	seq     int64
}

// unstoredChange is an end or a crash that changed the progress of a job.
type unstoredChange struct {
	seq     int64
	job     *Job
	version int64 // of the progress that includes it
}

func (c unstoredChange) isStored() bool {
	return max(c.job.storedVersion, c.job.heldVersion) >= c.version
}

// addUnstoredCrash keeps a crash until the progress of the job of a suspected task is stored.
func (vm *VM) addUnstoredCrash(seq int64, j *Job) {
	vm.unstoredCrashes = append(vm.unstoredCrashes, unstoredChange{seq, j, j.version})
}

// dropStored returns the changes that are not stored yet, and the highest number up to which all are, at most
// the given one.
func dropStored(changes []unstoredChange, seq int64) (left []unstoredChange, stored int64) {
	left = slices.DeleteFunc(changes, unstoredChange.isStored)
	if len(left) > 0 {
		seq = min(seq, left[0].seq-1)
	}
	return left, seq
}

// versionOf returns the version of the progress of a job that the flush writes.
func (f *Flush) versionOf(j *Job) int64 {
	i, _ := slices.BinarySearchFunc(f.Jobs, j, byID)
	return f.snapshots[i].version
}

// Empty reports whether there is nothing to write and nothing to acknowledge.
func (f *Flush) Empty() bool { return len(f.Jobs)+len(f.acks)+len(f.crashAcks) == 0 }

// BeginFlush collects the jobs with unstored progress, and the run ends that may be
// acknowledged once they are written.
func (tr *Tracker) BeginFlush() *Flush {
	f := &Flush{}
	for j := range tr.dirty {
		j.dirty, j.inFlight = false, true
		f.Jobs = append(f.Jobs, j)
	}
	clear(tr.dirty)
	slices.SortFunc(f.Jobs, byID)
	for _, j := range f.Jobs {
		f.snapshots = append(f.snapshots, jobSnapshot{j.version, j.Next})
	}
	for vm := range tr.unstored {
		if vm.EndSeen <= vm.EndStored && vm.CrashSeen <= vm.CrashStored {
			delete(tr.unstored, vm)
		}
		if vm.EndSeen > vm.EndStored {
			f.acks = append(f.acks, pendingAck{vm, vm.Incarnation, vm.EndSeen})
		}
		if vm.CrashSeen > vm.CrashStored {
			f.crashAcks = append(f.crashAcks, pendingCrashAck{vm, vm.Process, vm.CrashSeen})
		}
	}
	return f
}

// EndFlush records the outcome of a flush: states holds the written state, by ID, of each job that was
// written. The others are written again by the next flush; until then no end that changed one of them is
// acknowledged, nor a later one of its VM. It returns the VMs whose agents may be told that ends are stored.
func (tr *Tracker) EndFlush(f *Flush, states map[string]JobState) (stored []*VM) {
	for i, j := range f.Jobs {
		j.inFlight = false
		state, ok := states[j.Spec.ID]
		if !ok {
			j.dirty = true
			tr.dirty[j] = true
			continue
		}
		j.StoredState, j.storedNext, j.storedVersion = state, f.snapshots[i].next, f.snapshots[i].version
		j.Refused = false
		j.unstoredEnds = slices.DeleteFunc(j.unstoredEnds, func(e unstoredEnd) bool { return e.version <= j.storedVersion })
	}
	for _, e := range f.acks {
		if e.vm.Incarnation != e.incarnation {
			continue
		}
		before := e.vm.EndStored
		var seq int64
		e.vm.unstoredEnds, seq = dropStored(e.vm.unstoredEnds, e.seq)
		if e.vm.EndStored = max(before, seq); e.vm.EndStored > before {
			stored = append(stored, e.vm)
		}
	}
	for _, c := range f.crashAcks {
		if c.vm.Process == c.process {
			var seq int64
			c.vm.unstoredCrashes, seq = dropStored(c.vm.unstoredCrashes, c.seq)
			c.vm.CrashStored = max(c.vm.CrashStored, seq)
		}
	}
	return stored
}

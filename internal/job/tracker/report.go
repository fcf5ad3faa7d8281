package tracker

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// VMInfo is an agent's description of its VM.
type VMInfo struct {
	Name, Zone, Rack, Service string
	WorkerID                  string
	Labels                    []string
	Capacity                  specifier.Resources
}

// Report is an agent's complete report on the runs of its worker.
type Report struct {
	Incarnation       string // incarnation of the worker
	Process           int64  // process of the agent
	Ready             bool
	Unresponsive      time.Duration // for how long the worker has not answered; 0: it does
	Age               time.Duration // of the data on the runs
	LeaseLeft         time.Duration // runs may go on for so long whatever was granted
	OrdersSeen        int64         // number of orders of this session that the agent has received
	Runs              []ReportedRun
	Ends              []ReportedEnd // not yet acknowledged, in ascending order of Seq
	MoreEnds          bool          // the worker may have more, so runs that are not listed may have ended
	UnconfirmedStarts []UnconfirmedStart
	LateStarts        bool            // a later incarnation of the worker with its ID may carry them out
	Crashes           []ReportedCrash // not yet acknowledged, in ascending order of Seq
}

// UnconfirmedStart is a start call that was not answered and may still be carried out.
type UnconfirmedStart struct {
	Key RunKey
	Age time.Duration // since it was sent
}

// ReportedRun is a run that a worker has or may still receive.
type ReportedRun struct {
	Key        RunKey
	Confirmed  bool // the worker has it; otherwise its start was not answered
	Stopping   bool // the agent is stopping it
	Checkpoint string
	Progress   int
	Measure    int64
	Needs      specifier.Resources // as ordered; zero if the agent does not know
}

// ReportedEnd is the end of a run.
type ReportedEnd struct {
	Seq        int64
	Key        RunKey
	Outcome    End
	Checkpoint string
}

// Changes lists the effects of a report.
type Changes struct {
	Ended      []ReportedEnd
	Unassigned []ReportedEnd // of them, those that can't be stored since no task has their ID
	Lost       []*Run        // no longer listed, and no end was reported
	Adopted    []*Run        // not ordered by this owner
	Suspicions []Suspicion   // crashes attributed to tasks
	Cleared    []*Task       // no longer suspected of crashes
}

// Any reports whether anything changed that decisions depend on.
func (c Changes) Any() bool {
	return len(c.Ended)+len(c.Lost)+len(c.Adopted)+len(c.Suspicions)+len(c.Cleared) > 0
}

// orderUnknown is above every order number of a session: a run with it does not count
// as lost when a report does not list it.
const orderUnknown = 1 << 62

// Idle reports whether the VM accepts no new tasks and has no run that is running or may
// still start.
func (vm *VM) Idle() bool { return !vm.Ready && len(vm.Runs) == 0 && !vm.MoreEnds }

// UnconfirmedRuns returns the runs of a VM with unconfirmed starts. They have to be stopped
// before their tasks may start again, since their starts may still be carried out.
func (vm *VM) UnconfirmedRuns() []*Run {
	var found []*Run
	for _, r := range vm.Runs {
		if r.Unconfirmed {
			found = append(found, r)
		}
	}
	return found
}

// Attach opens a session of a VM's agent. Orders of an earlier session have expired: the
// agent refuses those that it has not received.
func (tr *Tracker) Attach(info VMInfo, rep Report, now time.Time) (*VM, Changes) {
	vm := tr.VMs[info.Name]
	if vm == nil {
		vm = &VM{Name: info.Name, Runs: make(map[RunKey]*Run)}
		tr.addVM(vm)
	}
	restarted := vm.Process != 0 && vm.Process != rep.Process
	if vm.Process != rep.Process {
		vm.CrashSeen, vm.CrashStored, vm.unstoredCrashes = 0, 0, nil
	}
	vm.Attached, vm.Process = true, rep.Process
	vm.OrderSeq = 0
	for _, r := range vm.Runs {
		r.resetOrders()
		// A start that the earlier process sent and that was never reported as running may
		// be carried out seconds later, and the new process has no record of it. So the run
		// keeps its resources until its stop is certain to take effect before the start.
		if r.Unconfirmed = r.Unconfirmed || restarted && r.StartedAt.IsZero(); r.Unconfirmed {
			r.Order = orderUnknown
		}
	}
	tr.UpdateInfo(vm, info)
	rep.OrdersSeen = 0
	var unreported []Suspicion
	if restarted && vm.Incarnation != rep.Incarnation {
		unreported = tr.attributeUnreportedCrash(vm, rep, now)
	}
	vm.gaps = reportGaps{}
	changes := tr.Apply(vm, rep, now)
	changes.Suspicions = append(unreported, changes.Suspicions...)
	return vm, changes
}

// resetOrders discards the numbers of the orders given for a run, and the pace of a
// best-effort run: orders in transit when the session broke may have been lost. If a stop
// was not lost, the report that opens the next session lists the run as stopping.
func (r *Run) resetOrders() {
	r.Order, r.StopOrder = 0, 0
	if r.Step().Spec.BestEffort {
		r.Pace = PaceUnknown
	}
}

// clearStop resets a run to one that is not being stopped. The reason of the stop, such as a
// move or a yield, is cleared with it.
func (r *Run) clearStop() {
	r.State, r.StopCause = Running, ""
	r.Task.SetRelocation(Relocation{})
	r.Task.Yielded = false
	if r.StartedAt.IsZero() {
		r.State = Ordered
	}
	if !r.unwanted() {
		r.StoppedAt, r.OverdueReported = time.Time{}, false
	}
}

// stoppedByAgent is the cause of a stop that this owner did not order in this session.
const stoppedByAgent = "stopped by its agent"

// applyStop sets whether a run is being stopped by what the agent reports, not by what it
// was ordered. If the agent has received the order and does not list the run as stopping,
// the stop is ordered again. If the agent is stopping a run for an earlier owner, the run
// counts as stopping.
func (r *Run) applyStop(stopping bool, ordersSeen int64, now time.Time) {
	switch {
	case stopping && r.State != Stopping:
		r.State, r.StopCause = Stopping, stoppedByAgent
		if r.StoppedAt.IsZero() {
			r.StoppedAt = now
		}
	case !stopping && r.State == Stopping && r.StopOrder <= ordersSeen:
		r.clearStop()
	}
}

// UpdateInfo records an agent's description of its VM. Another incarnation of the worker may
// have another ID and run on another kind of VM.
func (tr *Tracker) UpdateInfo(vm *VM, info VMInfo) {
	vm.Zone, vm.Rack, vm.Service, vm.Capacity, vm.WorkerID = info.Zone, info.Rack, info.Service, info.Capacity, info.WorkerID
	vm.Labels = make(map[string]bool, len(info.Labels))
	for _, l := range info.Labels {
		vm.Labels[l] = true
	}
}

// Detach ends a session. The runs keep their resources until their leases have expired, and their
// checkpoints are stored: if the VM is lost, the next owner gets no report of them.
func (tr *Tracker) Detach(vm *VM) {
	vm.Attached = false
	for _, r := range vm.Runs {
		r.Task.recordCheckpoint(r.Checkpoint)
	}
}

// Apply applies a report. A run whose order the agent has received and that the report
// does not list counts as lost, unless the report may lack ends.
func (tr *Tracker) Apply(vm *VM, rep Report, now time.Time) Changes {
	tr.openReported(rep, now)
	var c Changes
	listed := make(map[RunKey]bool, len(rep.Runs))
	for _, r := range rep.Runs {
		listed[r.Key] = true
	}
	if vm.Incarnation != rep.Incarnation {
		vm.releaseUnconfirmedRuns(now)
		vm.unstoredEnds = nil
		vm.Incarnation, vm.EndSeen, vm.EndStored, vm.Health, vm.Throttle, vm.Speed = rep.Incarnation, 0, 0, Health{}, ThrottleState{}, Speed{}
	}
	vm.Version++
	tr.forgetVanished(vm)
	vm.gaps.add(now.Sub(vm.GrantedAt))
	vm.Ready, vm.MoreEnds, vm.GrantedAt, vm.SeenAt = rep.Ready, rep.MoreEnds, now, now.Add(-rep.Age)
	vm.UnresponsiveSince = time.Time{}
	if rep.Unresponsive > 0 {
		vm.UnresponsiveSince = now.Add(-rep.Unresponsive)
	}
	if end := now.Add(rep.LeaseLeft); end.After(vm.UnrequestedLeaseEnd) {
		vm.UnrequestedLeaseEnd = end
	}
	vm.LateStarts = rep.LateStarts
	vm.applyUnconfirmedStarts(rep, now)
	for _, e := range rep.Ends {
		if e.Seq > vm.EndSeen {
			vm.EndSeen = e.Seq
			tr.unstored[vm] = true
			if tr.isUnassignable(e.Key.Task) {
				c.Unassigned = append(c.Unassigned, e)
			}
			tr.EndRun(vm, e.Key, e.Outcome, e.Checkpoint, now)
			tr.addUnstoredEnd(vm, e)
			c.Ended = append(c.Ended, e)
		}
	}
	// Before the runs that crashed count as lost: their tasks may start again from then on.
	c.Suspicions = tr.applyCrashes(vm, rep, now)
	for _, r := range rep.Runs {
		if adopted := tr.applyRun(vm, r, rep.OrdersSeen, now); adopted != nil {
			c.Adopted = append(c.Adopted, adopted)
		}
		if run := vm.Runs[r.Key]; r.Confirmed && tr.clearCrashes(run.Task, vm.SeenAt.Sub(run.StartedAt)) {
			c.Cleared = append(c.Cleared, run.Task)
		}
	}
	for key, r := range vm.Runs {
		if !listed[key] && r.Order <= rep.OrdersSeen && !vm.MoreEnds {
			delete(r.Step().Advice.Tickets, vm.Name) // the worker may have refused the ticket
			tr.dropRun(r, LossNotReported, now)
			c.Lost = append(c.Lost, r)
		}
	}
	return c
}

// isUnassignable reports whether there never was a task with the ID, or none of its job can be read. Tasks of
// jobs that have ended, and of finished occurrences, are not kept: their ends change nothing.
func (tr *Tracker) isUnassignable(id specifier.TaskID) bool {
	j := tr.Jobs[id.Job]
	return j == nil || j.Unreadable || !j.State.Final() && (id.Occurrence >= j.Next || !j.Spec.HasTask(id))
}

func (tr *Tracker) applyRun(vm *VM, rep ReportedRun, ordersSeen int64, now time.Time) (adopted *Run) {
	r := vm.Runs[rep.Key]
	if r == nil {
		r = tr.adopt(vm, rep, now)
		adopted = r
	}
	if r.Unconfirmed { // this process of the agent knows the run, and lists it until it has ended
		r.Unconfirmed, r.Order = false, 0
	}
	if rep.Confirmed && r.StartedAt.IsZero() {
		r.StartedAt, r.ProgressedAt = now, now
		r.Task.recordStart()
	}
	if rep.Confirmed && r.State == Ordered {
		r.State = Running
	}
	before := r.State
	r.applyStop(rep.Stopping, ordersSeen, now)
	if r.State != before {
		r.Task.touchVMs()
	}
	if !r.StoppedAt.IsZero() {
		tr.stopping[r] = true
	}
	if rep.Checkpoint != "" {
		r.Checkpoint = rep.Checkpoint
	}
	if rep.Confirmed {
		r.Step().Occurrence.Job.markStarted()
		r.Task.markRun()
		r.Measure = rep.Measure
		if !vm.MoreEnds { // the run may have ended
			r.recordWork(now)
			tr.updateProgress(r, rep.Progress)
		}
	}
	return adopted
}

package accountant

import (
	"time"

	"bamboospread/internal/job/specifier"
)

// Facts are what an agent says of its VM.
type Facts struct {
	Name, Zone, Rack, Service string
	WorkerID                  string
	Labels                    []string
	Capacity                  specifier.Resources
}

// Report is everything that an agent knows of its worker's runs.
type Report struct {
	Life       string // of the worker
	Process    int64  // of the agent
	Ready      bool
	Age        time.Duration // of what is told of the runs
	OrdersSeen int64         // orders of this session that the agent has
	Runs       []ReportedRun
	Ends       []ReportedEnd // not acknowledged yet, in the order of their numbers
	Doubts     []ReportedDoubt
}

// ReportedDoubt is a start that was not answered and that may still be carried out.
type ReportedDoubt struct {
	Key RunKey
	Age time.Duration // since it was sent
}

// ReportedRun is a run that a worker has or may still get.
type ReportedRun struct {
	Key        RunKey
	Confirmed  bool // the worker has it; else its start was not answered
	Stopping   bool // the agent is stopping it
	Checkpoint string
	Progress   int
	Measure    int64
	Needs      specifier.Resources // as ordered; zero if the agent does not know
}

// ReportedEnd is a run that ended.
type ReportedEnd struct {
	Seq        int64
	Key        RunKey
	How        End
	Checkpoint string
}

// Changes are what a report changed.
type Changes struct {
	Ended   []ReportedEnd
	Lost    []*Run // gone without a word
	Adopted []*Run // not ordered by this owner
}

// Any tells whether anything changed that decisions depend on.
func (c Changes) Any() bool { return len(c.Ended)+len(c.Lost)+len(c.Adopted) > 0 }

// orderUnknown is above every order of a session: a run with it is not taken to be
// gone because a report does not list it.
const orderUnknown = 1 << 62

// Idle tells that the VM takes nothing new and that nothing runs or may still run there.
func (vm *VM) Idle() bool { return !vm.Ready && len(vm.Runs) == 0 }

// UncertainRuns returns the runs of a VM that have to be stopped before their tasks may
// start again, since it is not known whether their starts are still on their way.
func (vm *VM) UncertainRuns() []*Run {
	var found []*Run
	for _, r := range vm.Runs {
		if r.Uncertain {
			found = append(found, r)
		}
	}
	return found
}

// Attach opens a session of a VM's agent. Orders of an earlier session are void:
// the agent refuses those that it has not seen.
func (a *Accountant) Attach(f Facts, rep Report, now time.Time) (*VM, Changes) {
	vm := a.VMs[f.Name]
	if vm == nil {
		vm = &VM{Name: f.Name, Runs: make(map[RunKey]*Run)}
		a.VMs[f.Name] = vm
	}
	restarted := vm.Process != 0 && vm.Process != rep.Process
	vm.Attached, vm.Process = true, rep.Process
	vm.OrderSeq = 0
	for _, r := range vm.Runs {
		r.forgetOrders()
		// A start that the earlier process had sent and that nobody has seen at the
		// worker may be carried out seconds later, and the new process knows nothing of
		// it. So the run stays booked until its stop has surely come first.
		if r.Uncertain = r.Uncertain || restarted && r.StartedAt.IsZero(); r.Uncertain {
			r.Order = orderUnknown
		}
	}
	a.Describe(vm, f)
	rep.OrdersSeen = 0
	return vm, a.Apply(vm, rep, now)
}

// forgetOrders forgets which orders were given on a run: those on their way when the
// session broke may have been lost. The report that opens a session tells of a stop that
// was not.
func (r *Run) forgetOrders() {
	r.Order, r.StopOrder = 0, 0
	if r.Step().Spec.Fills {
		r.Pace = PaceUnknown
	}
}

// forgetStop takes a run for one that nobody is stopping, for whatever it was.
func (r *Run) forgetStop() {
	r.State, r.StopCause = Running, ""
	r.Task.Moves, r.Task.Yielded = Moving{}, false
	if r.StartedAt.IsZero() {
		r.State = Ordered
	}
	if !r.unwanted() {
		r.StoppedAt, r.StopTold = time.Time{}, false
	}
}

// stoppedByAgent is the cause of a stop that this owner did not order in this session.
const stoppedByAgent = "its agent stops it"

// applyStop follows what the agent does with a run rather than what it was ordered. An
// agent that has the order of a stop and lists the run as one that stays is ordered again;
// one that stops a run for an earlier owner is believed.
func (r *Run) applyStop(stopping bool, ordersSeen int64, now time.Time) {
	switch {
	case stopping && r.State != Stopping:
		r.State, r.StopCause = Stopping, stoppedByAgent
		if r.StoppedAt.IsZero() {
			r.StoppedAt = now
		}
	case !stopping && r.State == Stopping && r.StopOrder <= ordersSeen:
		r.forgetStop()
	}
}

// Describe takes what an agent says of its VM. Another life of the worker may have another
// id, and another kind of VM behind it.
func (a *Accountant) Describe(vm *VM, f Facts) {
	vm.Zone, vm.Rack, vm.Service, vm.Capacity, vm.WorkerID = f.Zone, f.Rack, f.Service, f.Capacity, f.WorkerID
	vm.Labels = make(map[string]bool, len(f.Labels))
	for _, l := range f.Labels {
		vm.Labels[l] = true
	}
}

// Detach ends a session. The runs stay booked until their leases have run out.
func (a *Accountant) Detach(vm *VM) { vm.Attached = false }

// Apply takes a whole report in. What the owner ordered and the agent has seen
// but no longer lists is gone.
func (a *Accountant) Apply(vm *VM, rep Report, now time.Time) Changes {
	var c Changes
	listed := make(map[RunKey]bool, len(rep.Runs))
	for _, r := range rep.Runs {
		listed[r.Key] = true
	}
	if vm.Life != rep.Life {
		vm.releaseUncertain(now)
		vm.Life, vm.EndSeen, vm.EndStored, vm.Health, vm.Harm, vm.Speed = rep.Life, 0, 0, Health{}, Harm{}, Speed{}
	}
	vm.Version++
	vm.Ready, vm.GrantedAt, vm.SeenAt = rep.Ready, now, now.Add(-rep.Age)
	vm.applyDoubts(rep, now)
	for _, e := range rep.Ends {
		if e.Seq > vm.EndSeen {
			vm.EndSeen = e.Seq
			a.EndRun(vm, e.Key, e.How, e.Checkpoint, now)
			c.Ended = append(c.Ended, e)
		}
	}
	for _, r := range rep.Runs {
		if adopted := a.applyRun(vm, r, rep.OrdersSeen, now); adopted != nil {
			c.Adopted = append(c.Adopted, adopted)
		}
	}
	for key, r := range vm.Runs {
		if !listed[key] && r.Order <= rep.OrdersSeen {
			delete(r.Step().Tickets, vm.Name) // it may be what was refused
			a.loseRun(r, now)
			c.Lost = append(c.Lost, r)
		}
	}
	return c
}

func (a *Accountant) applyRun(vm *VM, rep ReportedRun, ordersSeen int64, now time.Time) (adopted *Run) {
	r := vm.Runs[rep.Key]
	if r == nil {
		r = a.adopt(vm, rep, now)
		adopted = r
	}
	if r.Uncertain { // this process of the agent knows it and lists it until it is gone
		r.Uncertain, r.Order = false, 0
	}
	if rep.Confirmed && r.State == Ordered {
		r.State, r.StartedAt, r.MovedAt = Running, now, now
	}
	r.applyStop(rep.Stopping, ordersSeen, now)
	if rep.Checkpoint != "" {
		r.Checkpoint = rep.Checkpoint
	}
	if rep.Confirmed {
		r.Step().Occurrence.Job.noteStarted()
		r.Measure = rep.Measure
		r.moved(rep.Progress)
	}
	return adopted
}

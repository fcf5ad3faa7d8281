// Package accountant keeps the state of a cell's jobs: which tasks wait, run and
// are done, and what each VM has committed. It imports no clock, network or
// store: events go in with their time, and decisions read the state. It is used
// by one goroutine.
package accountant

import (
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// RunState is the state of a run as far as the owner knows.
type RunState int

// States of a run.
const (
	Ordered  RunState = iota // the agent was told to start it and has not confirmed
	Running                  // the worker has it
	Stopping                 // the agent was told to stop it; its room is still taken
)

func (s RunState) String() string { return [...]string{"ordered", "running", "stopping"}[s] }

// Run is one start of a task on a VM.
type Run struct {
	Task       *Task
	Number     int64 // rises with each start of the task
	VM         *VM
	State      RunState
	Order      int64 // number of the order that started it, 0 for one that was adopted
	OrderedAt  time.Time
	StartedAt  time.Time // when it was first seen running
	Progress   int       // percent of its work, as last reported; of a lasting task, 100 once it is at work
	Pace       int       // percent of full speed, as last ordered; PaceUnknown if an order may have been lost
	PacedAt    time.Time // when it was last ordered to leave full speed or to return to it
	Measure    int64     // tail latency in ms for a lasting task with a target, else thousandths of a core in use
	StopCause  string
	StopOrder  int64     // number of the latest order to stop it, 0 if none was given in this session
	StoppedAt  time.Time // when the stop that is wanted was first ordered; zero: none is
	StopTold   bool      // that its stop is overdue
	Unsized    bool      // what it takes of the VM is not known: its job has ended and left no steps
	Uncertain  bool      // ordered by way of a process of the agent that has ended, and seen by no later one
	Checkpoint string    // latest reported
	Resumed    bool      // from a checkpoint of an earlier run, or begun under another owner
	MovedAt    time.Time // when the progress last changed
}

// Key is the name of the run in reports.
func (r *Run) Key() RunKey { return RunKey{r.Task.ID(), r.Number} }

// Step returns the step that the run belongs to.
func (r *Run) Step() *Step { return r.Task.Step }

// RunKey names a run.
type RunKey struct {
	Task   specifier.TaskID
	Number int64
}

// Less orders names of runs.
func (k RunKey) Less(o RunKey) bool {
	if k.Task != o.Task {
		return k.Task.Less(o.Task)
	}
	return k.Number < o.Number
}

// Task is one task of a step.
type Task struct {
	Step       *Step
	Index      int
	Done       bool
	Failed     []int64 // numbers of the runs that ended failed
	LastNumber int64   // of its latest run, 0 if this owner knows of none
	Ran        bool    // it has had a run, or may have had one under an earlier owner
	Checkpoint string  // to resume from
	Runs       []*Run  // live ones; more than one only where copies are allowed
	WaitSince  time.Time
	NotBefore  time.Time       // after a failure
	Shunned    map[string]bool // VMs on which a run of it failed or was refused
	Moves      Moving          // zero: it does not move
	Yielded    bool            // a lasting task was stopped to make room for urgent ones
}

// Moving tells where a lasting task was stopped to start anew.
type Moving struct {
	From, To string        // VMs
	For      *Step         // that gets the room that it leaves; nil: filling tasks do
	Hold     time.Duration // for which its room is held once its run has ended
	Until    time.Time     // it starts elsewhere only after this
}

// SetMove notes where a task is stopped to start anew.
func (a *Accountant) SetMove(t *Task, m Moving, now time.Time) {
	t.Moves = m
	a.moves = append(slices.DeleteFunc(a.moves, func(t *Task) bool { return !t.Moving(now) }), t)
}

// MovingTasks returns the tasks for which room is held on the VM that they move to.
func (a *Accountant) MovingTasks(now time.Time) []*Task {
	var found []*Task
	for _, t := range a.moves {
		if t.Moving(now) && t.Step.Occurrence.Job.Startable() && !t.RunsOn(a.VMs[t.Moves.To]) {
			found = append(found, t)
		}
	}
	return found
}

// Moving tells whether room is held for the task on the VM that it moves to.
func (t *Task) Moving(now time.Time) bool {
	if t.Moves.To == "" {
		return false
	}
	r := t.Lead()
	return now.Before(t.Moves.Until) || r != nil && r.State == Stopping
}

// Waiting tells whether the task keeps off a VM for the sake of the one it moves to.
func (t *Task) Waiting(vm string, now time.Time) bool {
	return t.Moving(now) && t.Moves.To != vm
}

// ID returns the name of the task.
func (t *Task) ID() specifier.TaskID {
	return specifier.TaskID{Job: t.Step.Occurrence.Job.Spec.ID, Occurrence: t.Step.Occurrence.Number, Step: t.Step.Number, Index: t.Index}
}

// Step is a step of one occurrence of a job.
type Step struct {
	Occurrence *Occurrence
	Number     int
	Spec       *specifier.Step
	Tasks      []*Task
	Done       int // tasks that are done
	ReadyAt    time.Time
	Tickets    map[string]Ticket // by VM, for a queue that asks for advice
	AdviseAt   time.Time         // not asked again before
	name       string
}

// Name is JOB.OCCURRENCE.STEP.
func (s *Step) Name() string {
	if s.name == "" {
		s.name = fmt.Sprintf("%s.%d.%d", s.Occurrence.Job.Spec.ID, s.Occurrence.Number, s.Number)
	}
	return s.name
}

// Ticket lets tasks of a step start on a VM.
type Ticket struct {
	Text  string
	Life  string // of the worker, for which alone it holds
	Until time.Time
}

// TicketFor returns the ticket that holds for a VM now.
func (s *Step) TicketFor(vm *VM, now time.Time) (string, bool) {
	t, ok := s.Tickets[vm.Name]
	return t.Text, ok && t.Life == vm.Life && now.Before(t.Until)
}

// Finished tells whether all tasks are done.
func (s *Step) Finished() bool { return s.Done == len(s.Tasks) }

// Ready tells whether the steps before it are finished.
func (s *Step) Ready() bool {
	for _, a := range s.Spec.After {
		if !s.Occurrence.Steps[a].Finished() {
			return false
		}
	}
	return true
}

// Occurrence is one time that a job's steps run.
type Occurrence struct {
	Job    *Job
	Number int
	DueAt  time.Time
	Steps  []*Step
}

// Finished tells whether all steps are finished.
func (o *Occurrence) Finished() bool {
	for _, s := range o.Steps {
		if !s.Finished() {
			return false
		}
	}
	return true
}

// JobState is what callers are told of a job.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued" // no task has started
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final tells whether the state is the last one.
func (s JobState) Final() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// Job is an accepted job.
type Job struct {
	Spec        *specifier.Job
	Queue       specifier.Queue // as of the newest policy that had it
	Occurrences []*Occurrence   // the due ones that are not finished
	Next        int             // next occurrence to become due
	Finished    int             // occurrences that are finished
	Started     bool            // a task of it has started
	State       JobState
	StoredState JobState // as the store has it; callers are told no later one
	EndedAt     time.Time
	// SettlesAt is when an earlier owner's runs of its tasks have surely ended; until
	// then a task without a known run may run on a VM that has not reported. Zero:
	// every run of it is known.
	SettlesAt  time.Time
	Unreadable bool // its stored progress can't be read, so nothing of it may start
	dirty      bool // the store has less than this state
	flight     bool // a write of it is on its way
}

// VM is a VM with its worker.
type VM struct {
	Name      string
	Zone      string
	Rack      string
	Labels    map[string]bool
	Service   string
	WorkerID  string // by which an advising service knows its worker
	Capacity  specifier.Resources
	Life      string // of the worker; another life knows nothing of before
	Ready     bool   // takes new tasks, as its worker says
	Attached  bool   // its agent has a session and has told what runs
	Process   int64  // of its agent
	OrderSeq  int64  // orders sent in this session
	EndSeen   int64  // ends of this life that were applied
	EndStored int64  // ends of this life that the store has
	Committed specifier.Resources
	FillCPU   int64 // thousandths of a core that filling tasks would use
	Lasting   int   // lasting tasks on it
	LastCPU   int64 // thousandths of a core that they declare
	Runs      map[RunKey]*Run
	unsized   int // runs of unknown size
	doubts    map[RunKey]doubt
	Version   int64 // rises with each change of the runs or of what is reported of them
	// GrantedAt is when the last report was answered: the agent may keep its
	// tasks running for a grant from then on.
	GrantedAt time.Time
	SeenAt    time.Time // when the worker told what the latest report says
	Speed     Speed
	Harm      Harm
	Health    Health
}

// Sized tells whether it is known what all runs on the VM take.
func (vm *VM) Sized() bool { return vm.unsized == 0 }

// Harm is how long lasting tasks of a VM have been over their targets.
type Harm struct {
	OverSince  time.Time // zero: none is over
	UnderSince time.Time // zero: one is over
	Percent    int       // pace of the filling tasks in force; 0 means stopped
	ChangedAt  time.Time
}

// Speed is how fast a VM works on tasks, 1 as declared.
type Speed struct {
	Value   float64
	Samples int
}

// Health is the evidence on a VM's worker.
type Health struct {
	Failed       map[specifier.TaskID]time.Time // tasks that failed on it since it last did one well
	QuarantineTo time.Time
	Cause        string // of the quarantine
	Times        int    // quarantines in a row
}

// Accountant is the state of a cell.
type Accountant struct {
	Jobs   map[string]*Job
	VMs    map[string]*VM
	policy *specifier.Policy
	ended  []*Job
	open   []string // ids of the jobs that have not ended, sorted; nil once it has changed
	moves  []*Task  // tasks that were told to move; some are there, or do not any more
	floor  int64    // run numbers of this owner are above it

	stretches map[string]float64 // by queue
}

// Config holds the settings of an Accountant.
type Config struct {
	// RunFloor is below every run number that this owner gives out, and not below
	// any that an earlier owner gave out: numbers must rise over a task's life,
	// while the last numbers of an earlier owner may be known to nobody.
	RunFloor int64
	Policy   *specifier.Policy
}

// New returns an empty Accountant.
func New(c Config) *Accountant {
	p := c.Policy
	if p == nil {
		p = &specifier.Policy{}
	}
	return &Accountant{Jobs: make(map[string]*Job), VMs: make(map[string]*VM), policy: p, floor: c.RunFloor, stretches: make(map[string]float64)}
}

// Policy returns the policy in force.
func (a *Accountant) Policy() *specifier.Policy { return a.policy }

// SetPolicy puts a newer policy in force. A job whose queue is gone keeps the
// last settings of its queue.
func (a *Accountant) SetPolicy(p *specifier.Policy) {
	a.policy = p
	for _, j := range a.Jobs {
		if q, ok := p.QueueByName(j.Spec.Queue); ok {
			j.Queue = q
		}
	}
}

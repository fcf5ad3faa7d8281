// Package tracker keeps the state of a cell's jobs: which tasks wait, run and
// are done, and which resources of each VM are committed. It uses no clock, network
// or store: events are passed in with their time, and scheduling decisions read the
// state. It is not safe for concurrent use.
package tracker

import (
	"fmt"
	"slices"
	"time"

	"bamboospread/internal/job/specifier"
)

// RunState is the state of a run as known to the owner.
type RunState int

// States of a run.
const (
	Ordered  RunState = iota // its start was ordered and is not confirmed yet
	Running                  // the worker has it
	Stopping                 // its stop was ordered; its resources are still reserved
)

func (s RunState) String() string { return [...]string{"ordered", "running", "stopping"}[s] }

// Run is one start of a task on a VM.
type Run struct {
	Task            *Task
	Number          int64 // increases with each start of the task
	VM              *VM
	State           RunState
	Order           int64 // number of the order that started it, 0 if it was adopted
	OrderedAt       time.Time
	StartedAt       time.Time // when it was first reported as running
	Inherited       bool      // the worker had it before this owner; StartedAt is when this owner learned of it
	Progress        int       // percent of its work, as last reported; for a long-running task, 100 once it is doing its work
	Pace            int       // percent of full speed, as last ordered; PaceUnknown if an order may have been lost
	PacedAt         time.Time // when it was last ordered to leave full speed or to return to it
	Measure         int64     // tail latency in ms for a long-running task with a target, otherwise thousandths of a core in use
	StopCause       string
	StopOrder       int64         // number of the latest stop order, 0 if none was given in this session
	StoppedAt       time.Time     // when the current stop was first ordered; zero: it is not to be stopped
	OverdueReported bool          // the stop was reported as overdue
	SizeUnknown     bool          // its resources are not known: its job has ended and its steps were not kept
	Unconfirmed     bool          // ordered through an agent process that has ended, and listed by no later process
	Checkpoint      string        // latest reported
	Resumed         bool          // from a checkpoint of an earlier run, or started under another owner
	ProgressedAt    time.Time     // when the progress last changed
	workerID        string        // of the worker that its start was ordered for
	worked          time.Duration // work until workedUntil
	workedUntil     time.Time
}

// Key returns the key that identifies the run in reports.
func (r *Run) Key() RunKey { return RunKey{r.Task.ID(), r.Number} }

// Step returns the step that the run belongs to.
func (r *Run) Step() *Step { return r.Task.Step }

// RunKey identifies a run.
type RunKey struct {
	Task   specifier.TaskID
	Number int64
}

// Less reports whether k sorts before o.
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
	HasRun     bool   // a worker has, or had, a run of it
	Yielded    bool   // long-running task that was stopped to free capacity for urgent ones or a gang
	LastNumber int64  // number of its latest run, 0 if this owner knows of none
	Checkpoint string // to resume from
	Runs       []*Run // runs that have not ended; more than one only if copies are allowed
	// WaitSince is when its last run ended. For a long-running task, a run that no worker has confirmed
	// does not count.
	WaitSince time.Time
	NotBefore time.Time // earliest restart after a run that ended by itself
	setbacks  *setbacks // nil: none
}

// Relocation describes the move of a long-running task: the VM on which it was stopped, if any,
// and the one on which it is to restart.
type Relocation struct {
	From, To string        // VMs
	For      *Step         // step that gets the freed capacity; nil: best-effort tasks
	Hold     time.Duration // how long capacity is held for it on To once its run has ended
	Until    time.Time     // until then it may start only on To
}

// SetRelocation records the move of a task that is stopped to be restarted elsewhere.
func (tr *Tracker) SetRelocation(t *Task, m Relocation, now time.Time) {
	t.SetRelocation(m)
	tr.moving = append(slices.DeleteFunc(tr.moving, func(t *Task) bool { return !t.Moving(now) }), t)
}

// MovingTasks returns the tasks for which capacity is held on the VM that they move to.
func (tr *Tracker) MovingTasks(now time.Time) []*Task {
	var found []*Task
	for _, t := range tr.moving {
		if t.Moving(now) && t.Step.Occurrence.Job.Startable() && !t.RunsOn(tr.VMs[t.Relocation().To]) {
			found = append(found, t)
		}
	}
	return found
}

// Moving reports whether capacity is held for the task on the VM that it moves to.
func (t *Task) Moving(now time.Time) bool {
	if t.Relocation().To == "" {
		return false
	}
	r := t.PrimaryRun()
	return now.Before(t.Relocation().Until) || r != nil && r.State == Stopping
}

// MovesElsewhere reports whether the task must not start on a VM because it moves to another.
func (t *Task) MovesElsewhere(vm string, now time.Time) bool {
	return t.Moving(now) && t.Relocation().To != vm
}

// ID returns the ID of the task.
func (t *Task) ID() specifier.TaskID {
	return specifier.TaskID{Job: t.Step.Occurrence.Job.Spec.ID, Occurrence: t.Step.Occurrence.Number, Step: t.Step.Number, Index: t.Index}
}

// Step is a step of one occurrence of a job.
type Step struct {
	Occurrence *Occurrence
	Number     int
	Spec       *specifier.Step
	Tasks      []*Task
	Done       int // number of tasks that are done
	ReadyAt    time.Time
	Advice     Advice   // of an advised queue
	Room       GangRoom // of a gang
	outcomes   outcomes
	// unitCrashes is nil until it is needed, and again once the crashes of a task change.
	unitCrashes *unitCrashes
	name        string
}

// Name returns the name of the step, JOB.OCCURRENCE.STEP.
func (s *Step) Name() string {
	if s.name == "" {
		s.name = fmt.Sprintf("%s.%d.%d", s.Occurrence.Job.Spec.ID, s.Occurrence.Number, s.Number)
	}
	return s.name
}

// Finished reports whether all tasks are done.
func (s *Step) Finished() bool { return s.Done == len(s.Tasks) }

// Ready reports whether the steps that it depends on are finished.
func (s *Step) Ready() bool {
	for _, a := range s.Spec.After {
		if !s.Occurrence.Steps[a].Finished() {
			return false
		}
	}
	return true
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	Job    *Job
	Number int
	DueAt  time.Time
	Steps  []*Step
}

// Finished reports whether all steps are finished.
func (o *Occurrence) Finished() bool {
	for _, s := range o.Steps {
		if !s.Finished() {
			return false
		}
	}
	return true
}

// JobState is the state of a job as reported to callers.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued" // no task has started
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether a job in the state has ended.
func (s JobState) Final() bool { return s == JobDone || s == JobFailed || s == JobCancelled }

// Job is an accepted job.
type Job struct {
	Spec        *specifier.Job
	Queue       specifier.Queue // its present settings, or those with which the job was accepted
	Occurrences []*Occurrence   // due and not finished
	Next        int             // next occurrence to open
	storedNext  int             // the same as stored
	Finished    int             // number of finished occurrences
	Started     bool            // one of its tasks has started
	State       JobState
	Reason      string   // why it failed
	StoredState JobState // as stored; callers get no final state before it is stored
	EndedAt     time.Time
	// ReconcileAt is when all runs of its tasks under earlier owners have certainly ended.
	// Until then a task without a known run may be running on a VM that has not
	// reported. Zero: all its runs are known.
	ReconcileAt time.Time
	Unreadable  bool // its stored progress can't be read, so none of its tasks may start
	Refused     bool // the store refuses its progress, so none of its tasks may start until it is stored
	tracker     *Tracker
	dirty       bool // its progress is not stored yet
	inFlight    bool // a write of its progress is in flight
	// version increases with each change of its progress; storedVersion is the stored one.
	version, storedVersion int64
	// heldVersion is the version up to which its ends are stored as held ones.
	heldVersion  int64
	unstoredEnds []unstoredEnd
}

// VM is a VM with its worker.
type VM struct {
	Name              string
	Zone              string
	Rack              string
	Labels            map[string]bool
	Service           string
	WorkerID          string // ID of the worker for advising services
	Capacity          specifier.Resources
	Incarnation       string           // incarnation of the worker; a new one knows nothing of earlier ones
	Ready             bool             // the worker accepts new tasks
	MoreEnds          bool             // the worker may have ends that its agent has not reported yet
	Attached          bool             // its agent has a session and has reported its runs
	Process           int64            // process of its agent
	OrderSeq          int64            // number of orders sent in this session
	EndSeen           int64            // highest applied end of this incarnation
	EndStored         int64            // highest stored end of this incarnation
	CrashSeen         int64            // highest applied crash that this process of the agent has reported
	CrashStored       int64            // highest of them that is stored
	unstoredEnds      []unstoredChange // by ends of this incarnation, in ascending order
	unstoredCrashes   []unstoredChange // by crashes that this process of the agent has reported
	Committed         specifier.Resources
	BestEffortCPU     int64 // thousandths of a core that best-effort tasks would use
	BestEffortEnding  int   // number of its runs of best-effort tasks that end by themselves
	LongRunning       int   // number of its runs of long-running tasks
	LongRunningCPU    int64 // thousandths of a core that they declare
	Runs              map[RunKey]*Run
	gaps              reportGaps
	vanished          []vanishedRun // given up while the VM is without contact
	unknownSizeRuns   int           // number of its runs of unknown size
	unconfirmedStarts map[RunKey]recordedStart
	LateStarts        bool  // a later incarnation of the worker with its ID may carry them out
	Version           int64 // increases with each change of the runs, of their reported data and of whether they are needed
	checkedVersion    int64 // Version when periodic checks last looked at the VM
	// GrantedAt is when the last report was answered. From then on, the agent may keep
	// its tasks running for the time granted.
	GrantedAt time.Time
	// UnrequestedLeaseEnd is when the leases of its runs have ended that its agent has not requested.
	UnrequestedLeaseEnd time.Time
	SeenAt              time.Time // when the worker provided the data of the latest report
	UnresponsiveSince   time.Time // when the worker stopped answering its agent; zero: it answers
	Speed               Speed
	Throttle            ThrottleState
	Health              Health
}

// Responds reports whether the worker answers its agent. The runs of one that does not are kept until
// they have certainly ended, but may have ended before.
func (vm *VM) Responds() bool { return vm.UnresponsiveSince.IsZero() }

// SizesKnown reports whether the resources of all runs on the VM are known.
func (vm *VM) SizesKnown() bool { return vm.unknownSizeRuns == 0 }

// ThrottleState records the interference with the long-running tasks of a VM: since when they
// have been over or under their latency targets.
type ThrottleState struct {
	OverSince  time.Time // zero: none is over its target
	UnderSince time.Time // zero: at least one is over its target
	Percent    int       // highest pace allowed to the best-effort tasks; 0: stopped
	ChangedAt  time.Time // when Percent last changed
}

// Speed is the measured speed at which a VM executes tasks, 1 as declared.
type Speed struct {
	Value   float64
	Samples int
}

// Health is the health record of a VM's worker.
type Health struct {
	QuarantinedUntil       time.Time // end of the quarantine
	Cause                  string    // of the quarantine
	ConsecutiveQuarantines int
	streak                 []failures // since its last success
	streakSince            time.Time  // time of the first of them
}

// Tracker is the state of a cell.
type Tracker struct {
	Jobs          map[string]*Job
	VMs           map[string]*VM
	policy        *specifier.Policy
	ended         []*Job
	open          []*Job        // jobs that have not ended, sorted by ID
	dirty         map[*Job]bool // jobs whose progress is not stored yet
	unstored      map[*VM]bool  // VMs with ends or crashes that may not be stored yet
	stopping      map[*Run]bool // runs that are to be stopped; may include some that have ended
	sorted        []*VM         // all VMs, sorted by name; nil: to be rebuilt
	checkNext     int           // index in sorted of the VM to be checked next, whether it has changed or not
	recentCrashes []recentCrash
	suspected     map[*Task]bool // tasks with crashes; may include some that have ended
	moving        []*Task        // tasks with a relocation; may include some whose relocation has ended
	withRoom      []*Step        // gangs with room; may include some for which it is not held any more
	runFloor      int64          // run numbers of this owner are higher
	random        func() float64 // from 0 up to 1

	runtimeRatios map[string]float64 // by queue
	observer      Observer
	usage         map[Holder]specifier.Resources
}

// Config holds the settings of a Tracker.
type Config struct {
	// RunFloor is lower than every run number that this owner assigns, and at least as
	// high as every number assigned by an earlier owner. The run numbers of a task must
	// always increase, but the last ones of an earlier owner may not be known to anyone.
	RunFloor int64
	Policy   *specifier.Policy
	// Random returns a random number from 0 up to 1, by which restarts after failures are spread;
	// nil: each waits for as long as it may.
	Random func() float64
}

// Observer is told what runs show of run times and of the speed of VMs.
type Observer struct {
	// RunDone is called for each completed run that this owner saw from its start.
	RunDone func(r *Run, took time.Duration)
	// RunStopped is called for each run that this owner saw from its start and that ended before its
	// task was done, with its work until its last report.
	RunStopped func(r *Run, work time.Duration)
	// Progress is called for each report of a run that works at full pace, with the percent of its work
	// done since its progress last changed, 0 if it has not changed since, and the time that it took.
	Progress func(r *Run, progress int, took time.Duration)
}

// SetObserver sets the observer of runs.
func (tr *Tracker) SetObserver(o Observer) { tr.observer = o }

// New returns an empty Tracker.
func New(c Config) *Tracker {
	p := c.Policy
	if p == nil {
		p = &specifier.Policy{}
	}
	random := c.Random
	if random == nil {
		random = func() float64 { return 1 }
	}
	ignored := Observer{RunDone: func(*Run, time.Duration) {}, RunStopped: func(*Run, time.Duration) {}, Progress: func(*Run, int, time.Duration) {}}
	return &Tracker{observer: ignored, random: random, Jobs: make(map[string]*Job), VMs: make(map[string]*VM), dirty: make(map[*Job]bool), unstored: make(map[*VM]bool), stopping: make(map[*Run]bool), policy: p, runFloor: c.RunFloor, runtimeRatios: make(map[string]float64), suspected: make(map[*Task]bool), usage: make(map[Holder]specifier.Resources)}
}

// Policy returns the policy in force.
func (tr *Tracker) Policy() *specifier.Policy { return tr.policy }

// SetPolicy applies a newer policy. A job whose queue was removed has the settings with which it was
// accepted, under every owner; one that an earlier build stored keeps the last settings.
func (tr *Tracker) SetPolicy(p *specifier.Policy) {
	tr.policy = p
	for _, j := range tr.Jobs {
		if q, ok := p.QueueOf(j.Spec); ok {
			j.Queue = q
		}
	}
}

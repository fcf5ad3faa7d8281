package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

const (
	replayStep     = 20 * time.Millisecond
	replayStopTime = 500 * time.Millisecond // how long a stop takes
	replayVMs      = 10
	// unansweredTime is how long an unanswered start blocks its task in the median, and
	// unansweredTimeLong in 95 of 100 (docs/design-notes/beliefs.md).
	unansweredTime     = 1350 * time.Millisecond
	unansweredTimeLong = 2750 * time.Millisecond
	// urgentInterval is the time between urgent jobs. They need 500 cores, more than the fleet has.
	urgentInterval = 40 * time.Millisecond
	urgentTasks    = 9 // per job
	fullProgress   = 100
)

// startFault is what happens to a start order.
type startFault int

const (
	noFault             startFault = iota
	startNotSent                   // the owner ends before the order is sent
	startRefused                   // the worker refuses the start
	startUnanswered                // the worker does not answer and does not run the task: blocks it for unansweredTime
	startUnansweredLong            // the same for unansweredTimeLong
)

// replay replays a cell over several owners under a backlog of urgent tasks. An owner knows only
// what it loads from the store and what the agents report.
type replay struct {
	t        *testing.T
	now      time.Time
	stepTime time.Duration
	rand     *rand.Rand
	store    replayStore
	owner    *owner // nil: the cell has none
	epoch    int64
	agents   []*replayAgent
	jobs     int
	work     map[string]time.Duration // of a task, by step; 0: long-running
	// startFault returns the fault of a start order.
	startFault  func(task string) startFault
	accepts     func(start messenger.WorkOrder) bool // whether the worker accepts a start; nil: it does
	backlog     bool
	load        specifier.LoadControl // asked for, from the next owner on
	urgentEvery time.Duration         // time between urgent jobs
	urgentAt    time.Time             // of the next urgent job
	lastRun     map[string]time.Time  // when a worker last had a run of a long-running task, by task
	// gaps holds the longest time without a run of each long-running task that has run again.
	gaps    map[string]time.Duration
	checked map[string]bool // tasks to check; nil: all
}

// replayStore is a store in memory.
type replayStore struct {
	mu       sync.Mutex
	records  map[string]keeper.Record
	revision int64
	down     bool                       // it refuses all writes
	refuses  func(put keeper.Put) error // nil: it takes every record
}

// replayAgent is an agent with its worker.
type replayAgent struct {
	report    messenger.WorkReport
	conn      *connector.Conn
	runs      []*replayRun
	endSeq    int64
	grantedAt time.Time
	lost      bool
}

type replayRun struct {
	messenger.WorkRun
	startedAt time.Time
	stopsAt   time.Time // zero: it is not being stopped
	fault     startFault
}

// newReplay returns a cell whose owner has started long-running jobs, each with as many tasks as
// there are VMs. A task takes 8 of the 32 cores of a VM.
//
// A step before the long-running one makes the owner store the progress of the job when it is done.
func newReplay(t *testing.T, longRunningJobs int, before ...specifier.Step) *replay {
	t.Helper()
	return newReplayOf(t, replayVMs, replayStep, longRunningJobs, before...)
}

// newReplayOf returns the same with so many VMs, replayed in steps of the given length.
func newReplayOf(t *testing.T, vms int, stepTime time.Duration, longRunningJobs int, before ...specifier.Step) *replay {
	t.Helper()
	var after []int
	for n := range before {
		after = append(after, n)
	}
	r := &replay{
		t: t, stepTime: stepTime, now: time.Unix(1_000_000, 0), rand: rand.New(rand.NewPCG(1, 1)),
		store:       replayStore{records: make(map[string]keeper.Record)},
		startFault:  func(string) startFault { return noFault },
		urgentEvery: urgentInterval, work: make(map[string]time.Duration), lastRun: make(map[string]time.Time), gaps: make(map[string]time.Duration),
	}
	for n := range vms {
		info := &messenger.WorkVMInfo{Zone: "z", Rack: fmt.Sprint("r", n/2), Capacity: specifier.Resources{CPUMillis: 32_000, MemoryMB: 32_000}}
		r.agents = append(r.agents, &replayAgent{report: messenger.WorkReport{VM: fmt.Sprintf("vm-%02d", n), Process: 1, Incarnation: "1", Ready: true, VMInfo: info}})
	}
	r.takeOver()
	for range longRunningJobs {
		r.submit("long-running", slices.Concat(before, []specifier.Step{{Count: vms, Needs: specifier.Resources{CPUMillis: 8000, MemoryMB: 4000}, LongRunning: true, After: after}})...)
	}
	r.run(10 * time.Second) // long enough for tasks to be allowed to stop
	if got := len(r.lastRun); got != longRunningJobs*vms {
		t.Fatalf("%d long-running tasks run", got)
	}
	return r
}

func (s *replayStore) calls() keeper.Calls {
	return keeper.Calls{
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if record, ok := s.records[key]; ok {
				return record, nil
			}
			return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
		},
		FindRecords: func(_ context.Context, o keeper.ListOptions) (found keeper.ListResult, err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, key := range slices.Sorted(maps.Keys(s.records)) {
				if strings.HasPrefix(key, o.Prefix) {
					found.Records = append(found.Records, s.records[key])
				}
			}
			found.Revision = s.revision
			return found, nil
		},
		Transact: func(_ context.Context, tx keeper.Transaction) (int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return 0, keeper.ErrUnavailable{Cause: errNoAnswer}
			}
			for _, p := range tx.Puts {
				if s.refuses != nil && s.refuses(p) != nil {
					return 0, s.refuses(p)
				}
			}
			s.revision++
			for _, p := range tx.Puts {
				s.records[p.Key] = keeper.Record{Key: p.Key, Value: p.Value, Revision: s.revision}
			}
			for _, key := range tx.Removes {
				delete(s.records, key)
			}
			return s.revision, nil
		},
	}
}

// submit stores a job as an entry does, and sends the owner a hint.
func (r *replay) submit(queue string, steps ...specifier.Step) {
	r.t.Helper()
	r.jobs++
	r.submitJob(&specifier.Job{ID: fmt.Sprintf("%016x", r.jobs), Queue: queue, Steps: steps, AcceptedMillis: r.now.UnixMilli()})
}

func (r *replay) submitJob(spec *specifier.Job) {
	r.t.Helper()
	value, err := json.Marshal(spec)
	if err != nil {
		r.t.Fatal(err)
	}
	for occurrence := range spec.OccurrenceCount() {
		for n, step := range spec.Steps {
			r.work[fmt.Sprintf("%s.%d.%d", spec.ID, occurrence, n)] = step.Estimate()
		}
	}
	revision, _ := r.store.calls().Transact(r.t.Context(), keeper.Transaction{Puts: []keeper.Put{{Key: JobKey(spec.ID), Value: value}}})
	if r.owner != nil {
		recordSeen{keeper.Record{Key: JobKey(spec.ID), Value: value, Revision: revision}, sourceHint}.apply(r.owner, r.now)
	}
}

// stepOf returns the step of a task.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (r *replay) submitUrgent() {
	needs := specifier.Resources{CPUMillis: 1000 * (1 + r.rand.Int64N(3)), MemoryMB: 100}
	r.submit("urgent", specifier.Step{Count: urgentTasks, Needs: needs, EstimateMillis: 300 + r.rand.Int64N(1300)})
}

// takeOver makes another process the owner, with the product's own code.
func (r *replay) takeOver() {
	r.t.Helper()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "long-running"}, {Name: "urgent", Slack: 1.5}}, Load: r.load}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: func() time.Time { return r.now }, Policy: func() *specifier.Policy { return policy }, Store: r.store.calls()})
	var err error
	if r.epoch, err = s.tryRaiseEpoch(r.t.Context(), "cells/jobs/epoch"); err != nil {
		r.t.Fatal(err)
	}
	o, err := s.takeOver(r.t.Context(), r.epoch)
	if err != nil {
		r.t.Fatal(err)
	}
	r.owner = o
	for _, a := range r.agents {
		a.conn = new(connector.Conn)
		a.report.Session++
		a.report.OrdersSeen = 0
	}
}

// replaceOwner ends the owner, and makes another process the owner after a time without any.
func (r *replay) replaceOwner(ownerless time.Duration) {
	r.owner = nil
	r.run(ownerless)
	r.takeOver()
}

func (r *replay) run(d time.Duration) { r.runUntil(d, func() bool { return false }) }

// runUntil replays until done returns true, for the given time at most.
func (r *replay) runUntil(limit time.Duration, done func() bool) bool {
	for end := r.now.Add(limit); r.now.Before(end); {
		if done() {
			return true
		}
		r.step()
	}
	return done()
}

func (r *replay) step() {
	r.now = r.now.Add(r.stepTime)
	if r.backlog && !r.now.Before(r.urgentAt) {
		r.urgentAt = r.now.Add(r.urgentEvery)
		r.submitUrgent()
	}
	for _, a := range r.agents {
		r.advance(a)
	}
	if r.owner == nil {
		return
	}
	for _, a := range r.agents {
		if !a.lost {
			r.sendReport(a)
		}
	}
	r.owner.dirty = true
	r.owner.runRound(r.t.Context(), r.now)
	for r.owner.flushing || r.owner.storingMembers || r.owner.silences.storing || r.owner.numbers.storing {
		(<-r.owner.events).apply(r.owner, r.now)
	}
	for _, a := range r.agents {
		r.deliverOrders(a)
	}
}

// advance applies what the worker has done since the last step.
func (r *replay) advance(a *replayAgent) {
	if a.lost && r.now.Sub(a.grantedAt) > LeaseExpiry(DefaultGrant, DefaultStopTime) {
		a.runs = nil // its leases have certainly expired
	}
	a.runs = slices.DeleteFunc(a.runs, func(run *replayRun) bool {
		work, age := r.work[stepOf(run.Task)], r.now.Sub(run.startedAt)
		switch {
		case run.fault == startUnanswered:
			return age >= unansweredTime
		case run.fault == startUnansweredLong:
			return age >= unansweredTimeLong
		case !run.stopsAt.IsZero() && !r.now.Before(run.stopsAt):
			a.end(run, tracker.EndStopped)
			return true
		case work > 0 && age >= work:
			a.end(run, tracker.EndDone)
			return true
		}
		run.Confirmed, run.Progress = true, fullProgress
		if work > 0 {
			run.Progress = int(fullProgress * age / work)
		} else {
			r.recordRun(run.Task)
		}
		return false
	})
}

// recordRun records that a worker has a run of a long-running task.
func (r *replay) recordRun(task string) {
	if last, ok := r.lastRun[task]; ok {
		r.gaps[task] = max(r.gaps[task], r.now.Sub(last)-r.stepTime)
	}
	r.lastRun[task] = r.now
}

func (a *replayAgent) end(run *replayRun, outcome tracker.End) {
	a.endSeq++
	a.report.Ends = append(a.report.Ends, messenger.WorkEnd{Seq: a.endSeq, Task: run.Task, Run: run.Run, Outcome: string(outcome)})
}

func (r *replay) sendReport(a *replayAgent) {
	r.t.Helper()
	a.report.Runs = nil
	for _, run := range a.runs {
		a.report.Runs = append(a.report.Runs, run.WorkRun)
	}
	parsed, info, err := parseReport(a.report)
	if err != nil {
		r.t.Fatal(err)
	}
	e := reportReceived{conn: a.conn, report: a.report, info: info, parsed: parsed, answer: make(chan messenger.WorkReply, 1)}
	e.apply(r.owner, r.now)
	reply := <-e.answer
	if reply.Epoch == 0 {
		r.t.Fatalf("report of %s is refused", a.report.VM)
	}
	if reply.GrantMillis > 0 {
		a.report.Granted, a.grantedAt = true, r.now
	}
	a.dropEnds(reply.EndsStored)
	r.owner.sessions[a.report.VM].sending = true // orders stay in the outbox
}

func (a *replayAgent) dropEnds(stored int64) {
	a.report.Ends = slices.DeleteFunc(a.report.Ends, func(e messenger.WorkEnd) bool { return e.Seq <= stored })
}

// deliverOrders carries out the orders that the owner has sent to an agent.
func (r *replay) deliverOrders(a *replayAgent) {
	s := r.owner.sessions[a.report.VM]
	if s == nil {
		return
	}
	for _, m := range s.outbox {
		r.owner.window.answered(s, startBytes(m.Orders), r.now)
		a.dropEnds(m.EndsStored)
		for _, order := range m.Orders {
			if !a.lost && r.carryOut(a, order) {
				a.report.OrdersSeen = order.Seq
			}
		}
	}
	s.outbox = nil
}

// carryOut reports whether the agent has received an order.
func (r *replay) carryOut(a *replayAgent, order messenger.WorkOrder) bool {
	switch order.Kind {
	case messenger.WorkStart:
		fault := r.startFault(order.Task)
		if fault == startNotSent {
			return false
		}
		if r.accepts != nil && !r.accepts(order) {
			fault = startRefused
		}
		if fault != startRefused {
			a.runs = append(a.runs, &replayRun{WorkRun: messenger.WorkRun{Task: order.Task, Run: order.Run}, startedAt: r.now, fault: fault})
		}
	case messenger.WorkStop:
		for _, run := range a.runs {
			if run.Task == order.Task && run.Run == order.Run && run.stopsAt.IsZero() {
				run.Stopping, run.stopsAt = true, r.now.Add(replayStopTime)
			}
		}
	case messenger.WorkPace:
	}
	return true
}

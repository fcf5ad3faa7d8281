package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/executor"
	"bamboospread/internal/standin/storer"
)

// Seeds from firstScenarioSeed on submit jobs of rare shapes besides the usual ones, and run scenarios after
// the last burst, when nothing else is submitted: what waits then waits for these jobs alone. They ask for
// no decisions under load and have no tasks that crash executors. No entry here has an advising service,
// so no queue is advised.
const (
	firstScenarioSeed = 2000
	// firstWideSeed is the first seed that may draw a job of thousands of tasks, which takes the machine's
	// processors for half a minute.
	firstWideSeed    = 2100
	shapesPerBurst   = 8
	shapeIDPrefix    = 0xa0
	scenarioIDPrefix = 0xa8
	maxMembers       = 8
	rareLabel        = "rare" // of one VM
	fewLabel         = "few"  // of two VMs
	// removableQueues are added to the fleet text; the operators remove them for good while they have jobs.
	removableQueues = "  - {name: seasonal, priority: 0, max-failures: 4, slack: 2, target: 250ms}\n"
	removableQueue  = "seasonal"
	// Small tasks, so many on each VM that their ends do not fit in one list.
	smallJobs, smallTasks = 12, 200
	scenarioRetryPause    = 200 * time.Millisecond
	policyTime            = 3 * time.Second // for a removed queue to be known everywhere
	// quarantineTime is longer than two quarantines in a row.
	quarantineTime = 13 * time.Second
	// More occurrences than an owner opens at once.
	manyOccurrences = 3 * specifier.MaxOpen
	// wideTasks is so many that a crash under all of them takes more than the store holds in one record.
	wideTasks = 12_000
	wideStart = 25 * time.Second // for most of them to start
	wideBound = 10 * time.Second // for small jobs beside them to end after the crash
	// gangTime is how long the members of a gang wait for each other.
	gangTime = 3 * time.Second
)

var vmLabels = [][]string{ // by VM
	{"a", rareLabel}, {"a", fewLabel}, {"a", fewLabel}, {"a"},
}

// scenarios draws the jobs and scenarios of a seed. A nil scenarios draws nothing.
type scenarios struct {
	b      *testbed
	random *rand.Rand
	count  int
}

func newScenarios(b *testbed) *scenarios {
	return &scenarios{b: b, random: rand.New(rand.NewPCG(b.seed, 5))}
}

// add registers a job.
func (s *scenarios) add(prefix int, queue, payload string, steps ...specifier.Step) *specifier.Job {
	return s.addJob(prefix, &specifier.Job{Queue: queue, Payload: payload, Steps: steps})
}

// addJob registers a job under the next ID.
func (s *scenarios) addJob(prefix int, j *specifier.Job) *specifier.Job {
	s.count++
	j.ID = fmt.Sprintf("%08x%08x", prefix, s.count)
	s.b.registry.mu.Lock()
	defer s.b.registry.mu.Unlock()
	s.b.registry.jobs[j.ID] = &record{spec: j, submitting: true}
	return j
}

// submitShapes submits gangs, labelled, bounded and copied tasks in chains of steps, some of them
// long-running, at times drawn within a burst.
func (s *scenarios) submitShapes(ctx context.Context, burst int) {
	if s == nil {
		return
	}
	c := s.b.callers[burst%len(s.b.callers)]
	for range shapesPerBurst {
		j, at := s.drawShape(), time.Duration(s.random.Int64N(int64(maxBurst)))
		s.b.background.Go(func() {
			wait(ctx, at)
			c.submit(ctx, j, true)
		})
	}
}

func (s *scenarios) drawShape() *specifier.Job {
	r := s.random
	if r.IntN(4) == 0 {
		step := specifier.Step{Count: 1 + r.IntN(2), LongRunning: true, Label: []string{"", "a", fewLabel}[r.IntN(3)], Needs: specifier.Resources{CPUMillis: 250, MemoryMB: 200}}
		return s.add(shapeIDPrefix, "sorting", `{"run-ms":-1,"checkpointed":true}`, step)
	}
	var steps []specifier.Step
	for i := range 1 + r.IntN(3) {
		step := specifier.Step{
			Count: 1 + r.IntN(4), EstimateMillis: 500, Checkpoints: r.IntN(2) == 0, Copies: r.IntN(5) == 0, BestEffort: r.IntN(4) == 0,
			Label: []string{"", "a", fewLabel, rareLabel}[r.IntN(4)], MaxPerVM: r.IntN(3), Needs: specifier.Resources{CPUMillis: 100 * (1 + r.Int64N(8)), MemoryMB: 100},
		}
		if r.IntN(2) == 0 {
			step.Gang, step.Copies, step.Count = true, false, 2+r.IntN(maxMembers-1)
		}
		if vms := vmsWith(step.Label); step.Gang && step.MaxPerVM > 0 { // it has to fit on the VMs that it may use
			step.MaxPerVM = max(step.MaxPerVM, (step.Count+vms-1)/vms)
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		steps = append(steps, step)
	}
	return s.add(shapeIDPrefix, []string{"labels", "sorting"}[r.IntN(2)], fmt.Sprintf(`{"run-ms":%d,"checkpointed":true}`, 100+r.IntN(900)), steps...)
}

// run runs one to three different scenarios in an order that is drawn.
func (s *scenarios) run(ctx context.Context) {
	if s == nil {
		return
	}
	all := []func(context.Context){s.endsBeyondAList, s.queueRemoved, s.gangAfterQuarantine, s.occurrencesThroughOutage, s.longRunningTasksEnd}
	if s.b.seed >= firstWideSeed {
		all = append(all, s.crashUnderWideJob)
	}
	for _, scenario := range drawSome(s.random, all, 1+s.random.IntN(len(all))) {
		scenario(ctx)
	}
}

// submit submits jobs concurrently and returns once all have an outcome.
func (s *scenarios) submit(ctx context.Context, jobs ...*specifier.Job) {
	forEach(jobs, func(j *specifier.Job) { s.b.callers[0].submit(ctx, j, true) })
}

// endsBeyondAList lets many small tasks end while the store is down.
func (s *scenarios) endsBeyondAList(ctx context.Context) {
	run, down := 2000+s.random.IntN(1500), 3500*time.Millisecond+time.Duration(s.random.Int64N(int64(1500*time.Millisecond)))
	s.b.logEvent("scenario: %d tasks of %d ms end while the store is down for %s", smallJobs*smallTasks, run, down)
	var jobs []*specifier.Job
	for range smallJobs {
		step := specifier.Step{Count: smallTasks, EstimateMillis: int64(run), Needs: specifier.Resources{CPUMillis: 8, MemoryMB: 4}}
		jobs = append(jobs, s.add(scenarioIDPrefix, "labels", fmt.Sprintf(`{"run-ms":%d}`, run), step))
	}
	s.submit(ctx, jobs...)
	wait(ctx, time.Duration(run)*time.Millisecond*3/4)
	end := s.b.storeStack.push(storer.Faults{Down: true, PauseLeases: s.random.IntN(2) == 0})
	wait(ctx, down)
	end()
	wait(ctx, reconnectBound)
}

// queueRemoved removes a queue while the first steps of its jobs run, and then ends all entries, so that
// the next owner has never seen it.
func (s *scenarios) queueRemoved(ctx context.Context) {
	s.b.logEvent("scenario: a queue with jobs is removed and the entries end")
	var jobs []*specifier.Job
	for range 1 + s.random.IntN(3) {
		step := specifier.Step{Count: 1 + s.random.IntN(3), EstimateMillis: 6000, Needs: specifier.Resources{CPUMillis: 200, MemoryMB: 100}}
		next := step
		next.After = []int{0}
		jobs = append(jobs, s.add(scenarioIDPrefix, removableQueue, `{"run-ms":6000}`, step, next))
	}
	s.submit(ctx, jobs...)
	s.removeQueue(ctx)
	wait(ctx, policyTime)
	forEach(s.b.entries, func(m *managedProcess) { m.stop(false) })
	forEach(s.b.entries, (*managedProcess).start)
	wait(ctx, reconnectBound)
}

// removeQueue replaces the first fleet text by one without the queue.
func (s *scenarios) removeQueue(ctx context.Context) {
	o := requester.ApplyOptions{Text: []byte(fleetText), Base: 1, ChangeID: "without-" + removableQueue}
	for ; ctx.Err() == nil; wait(ctx, scenarioRetryPause) {
		if _, err := s.b.Operator().Apply(ctx, o); err == nil {
			return
		}
	}
}

// gangAfterQuarantine lets all tasks on one VM fail for some seconds, and submits a gang that only this VM
// may run once the VM is sound again. Long-running jobs are cancelled first: they could fill the VM.
func (s *scenarios) gangAfterQuarantine(ctx context.Context) {
	members := 2 + s.random.IntN(maxMembers-1)
	s.b.logEvent("scenario: tasks on %s fail, then a gang of %d may run only there", s.b.JobVMs[0].Name, members)
	forEach(s.b.registry.jobIDs(func(r *record) bool { return r.pending() && r.spec.LongRunning() }), func(id string) { s.b.callers[0].cancel(ctx, id) })
	wait(ctx, cancelBound+stopTime)
	end := s.b.executorStacks[0].push(executor.Faults{FailAll: true})
	ordinary := specifier.Step{Count: 40, EstimateMillis: 500, Needs: specifier.Resources{CPUMillis: 400, MemoryMB: 100}}
	s.submit(ctx, s.add(scenarioIDPrefix, "labels", `{"run-ms":500}`, ordinary))
	wait(ctx, 2*time.Second+time.Duration(s.random.Int64N(int64(4*time.Second))))
	end()
	wait(ctx, quarantineTime)
	gang := specifier.Step{Count: members, EstimateMillis: 500, Gang: true, Label: rareLabel, Needs: specifier.Resources{CPUMillis: 500, MemoryMB: 100}}
	s.submit(ctx, s.add(scenarioIDPrefix, "labels", `{"run-ms":500}`, gang))
}

// occurrencesThroughOutage takes the store down while a job with more occurrences due than are opened at once is
// under way.
func (s *scenarios) occurrencesThroughOutage(ctx context.Context) {
	run, down := 1000+s.random.IntN(1500), 2*time.Second+time.Duration(s.random.Int64N(int64(3*time.Second)))
	s.b.logEvent("scenario: the store is down for %s under %d occurrences of %d ms", down, manyOccurrences, run)
	step := specifier.Step{Count: 1, EstimateMillis: int64(run), Needs: specifier.Resources{CPUMillis: 4, MemoryMB: 1}}
	s.submit(ctx, s.addJob(scenarioIDPrefix, &specifier.Job{
		Queue: "labels", Payload: fmt.Sprintf(`{"run-ms":%d}`, run), Steps: []specifier.Step{step},
		Occurrences: manyOccurrences, FirstMillis: time.Now().UnixMilli(), IntervalMillis: 1,
	}))
	wait(ctx, time.Duration(run+s.random.IntN(run))*time.Millisecond)
	end := s.b.storeStack.push(storer.Faults{Down: true, PauseLeases: s.random.IntN(2) == 0})
	wait(ctx, down)
	end()
	wait(ctx, reconnectBound)
}

// crashUnderWideJob lets the executors crash on which a job of thousands of tasks runs. Small jobs beside it must
// end while it goes on.
func (s *scenarios) crashUnderWideJob(ctx context.Context) {
	s.b.logEvent("scenario: two executors crash under %d tasks", wideTasks)
	step := specifier.Step{Count: wideTasks, EstimateMillis: 60_000, Label: fewLabel, Needs: specifier.Resources{CPUMillis: 1, MemoryMB: 1}}
	wide := s.add(scenarioIDPrefix, "sorting", `{"run-ms":60000}`, step)
	s.submit(ctx, wide)
	wait(ctx, wideStart)
	for _, i := range []int{1, 2} { // those with the label
		s.b.executorStacks[i].push(executor.Faults{Crash: true})()
	}
	wait(ctx, reconnectBound)
	small := specifier.Step{Count: 4, EstimateMillis: 200, Needs: specifier.Resources{CPUMillis: 100, MemoryMB: 100}}
	var jobs []*specifier.Job
	for range 4 {
		jobs = append(jobs, s.add(scenarioIDPrefix, "labels", `{"run-ms":200}`, small))
	}
	s.submit(ctx, jobs...)
	wait(ctx, wideBound)
	for _, j := range jobs {
		s.b.callers[0].checkState(ctx, j.ID)
		if r := s.b.registry.snapshot()[j.ID]; r.done.IsZero() && !r.accepted.IsZero() && ctx.Err() == nil {
			s.b.registry.addFinding("stored: job %s is %s, %s after it was submitted beside job %s, under which executors have crashed", j.ID, r.state, wideBound, wide.ID)
		}
	}
	s.b.callers[0].cancel(ctx, wide.ID)
}

// longRunningTasksEnd submits long-running tasks that end by themselves, done and failed, and lets an executor
// crash under them. They have to be running at some time after that.
func (s *scenarios) longRunningTasksEnd(ctx context.Context) {
	run := 4000 + s.random.IntN(3000)
	s.b.logEvent("scenario: long-running tasks end by themselves after %d ms, and an executor crashes", run)
	var jobs []*specifier.Job
	for _, fail := range []bool{false, true} {
		step := specifier.Step{Count: 1 + s.random.IntN(2), LongRunning: true, Needs: specifier.Resources{CPUMillis: 250, MemoryMB: 100}}
		jobs = append(jobs, s.add(scenarioIDPrefix, "labels", fmt.Sprintf(`{"run-ms":%d,"fail":%v}`, run, fail), step))
	}
	s.submit(ctx, jobs...)
	wait(ctx, time.Duration(run)*time.Millisecond*3/2)
	s.b.executorStacks[s.random.IntN(jobVMs)].push(executor.Faults{Crash: true})()
	wait(ctx, reconnectBound)
}

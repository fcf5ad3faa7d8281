package scheduler

import (
	"encoding/json"
	"math"
	"sync/atomic"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

const (
	// waitsForRoom is the time from which a task that could start counts as waiting for room: a start takes
	// up to two rounds of messages.
	waitsForRoom = 300 * time.Millisecond
	// tabulateInterval is the time between tables. During it, entries do not see what the others let in.
	tabulateInterval = 250 * time.Millisecond
	// backlogWait is the expected wait from which a backlog is logged.
	backlogWait = time.Second
	// backlogReportInterval is the shortest time between lines on the same backlog.
	backlogReportInterval = 2 * time.Second
)

// admission is the owner's part of the admission of jobs. Only published is used outside the loop.
type admission struct {
	meter       *admitter.Meter
	left        map[occurrenceKey]float64 // core-seconds, at the last sample
	saturated   map[admitter.Pool]bool    // at the last sample
	sampledAt   time.Time
	tabulatedAt time.Time
	version     int64
	judged      map[string]bool // open jobs that were compared with their bound on admission
	overdue     map[string]bool // open jobs that were logged as overdue
	backlogged  map[admitter.Pool]bool
	reportedAt  map[admitter.Pool]time.Time
	removeAt    time.Time // when expired refusals are next removed
	published   atomic.Pointer[publishedTable]
}

type occurrenceKey struct {
	job    string
	number int
}

// publishedTable is a table as it is sent to entries.
type publishedTable struct {
	epoch, version int64
	at             time.Time
	raw            json.RawMessage
}

func newAdmission() *admission {
	return &admission{
		meter: admitter.NewMeter(), judged: make(map[string]bool), overdue: make(map[string]bool),
		backlogged: make(map[admitter.Pool]bool), reportedAt: make(map[admitter.Pool]time.Time),
	}
}

// update returns what an entry needs to have the newest table; nil if it takes no part or there is
// none.
func (a *admission) update(has *messenger.AdmissionState, now time.Time) *messenger.AdmissionUpdate {
	t := a.published.Load()
	if has == nil || t == nil {
		return nil
	}
	u := &messenger.AdmissionUpdate{Epoch: t.epoch, Version: t.version, AgeMillis: now.Sub(t.at).Milliseconds()}
	if has.Epoch != t.epoch || has.Version != t.version {
		u.Table = t.raw
	}
	return u
}

// updateAdmission computes the table by which entries refuse jobs.
func (o *owner) updateAdmission(now time.Time) {
	a := o.load.admission
	if !o.asked().Admission {
		a.published.Store(nil)
		return
	}
	o.removeRefusals(now)
	if now.Sub(a.tabulatedAt) < tabulateInterval {
		return
	}
	a.tabulatedAt = now
	b := o.backlog(now)
	if now.Sub(a.sampledAt) >= admitter.SampleInterval {
		o.sampleDrain(b, now)
	}
	rows := admitter.Tabulate(b)
	o.checkStarts(rows, now)
	o.reportBacklogs(b, now)
	entries, all := o.s.peers.admitting()
	if !all {
		a.published.Store(nil)
		return
	}
	a.version++
	raw, err := json.Marshal(admitter.Table{Format: admitter.Format, Version: a.version, Epoch: o.epoch, Entries: entries, Rows: rows})
	if err != nil {
		o.s.config.Reporter.Report(reporter.AdmissionTableUnusable, reporter.Fields{"table": a.version, "error": err.Error()})
		return
	}
	a.published.Store(&publishedTable{o.epoch, a.version, now, raw})
}

// backlog returns the work that is accepted and not begun.
func (o *owner) backlog(now time.Time) admitter.Backlog {
	b := admitter.Backlog{Meter: o.load.admission.meter}
	for _, q := range o.state.Policy().Queues {
		b.Queues = append(b.Queues, admitter.Queue{Name: q.Name, Pool: admitter.Pool{Service: q.Service, Priority: q.Priority}})
	}
	if o.asked().Shares {
		b.Share = func(account string, priority int) float64 { return o.load.sharer.Standing(account, priority).Share }
	}
	b.Ready, b.Running = o.demand(now)
	in := o.input(now)
	rooms := make(map[string]*admitter.Room)
	for _, j := range o.state.OpenJobs() {
		if j.Spec.LongRunning() {
			rooms[j.Queue.Service] = nil
		}
		for _, occurrence := range j.Occurrences {
			p, ok := planner.BacklogPlaceOf(in, occurrence)
			if ok && p.Work > 0 {
				b.Waiting = append(b.Waiting, admitter.Waiting{Pool: poolOf(j), Account: j.Spec.Account, OnTime: p.OnTime, Rank: p.Rank, Work: p.Work})
			}
		}
	}
	for service := range rooms {
		rooms[service] = o.longRunningRoom(service)
	}
	for i := range b.Queues {
		b.Queues[i].Room = rooms[b.Queues[i].Pool.Service]
	}
	return b
}

// demand returns the work of the tasks that wait for room and the processors of those that run, by
// pool.
func (o *owner) demand(now time.Time) (ready, running map[admitter.Pool]float64) {
	ready, running = make(map[admitter.Pool]float64), make(map[admitter.Pool]float64)
	for _, s := range o.state.OpenSteps() {
		if s.Spec.LongRunning {
			continue
		}
		p := poolOf(s.Occurrence.Job)
		for _, t := range s.Tasks {
			if len(t.Runs) > 0 {
				running[p] += float64(s.Spec.Needs.CPUMillis) / 1000
			} else if t.Waits(now) && now.Sub(s.ReadyAt) >= waitsForRoom && now.Sub(t.WaitSince) >= waitsForRoom {
				ready[p] += s.Spec.CoreSeconds()
			}
		}
	}
	return ready, running
}

func poolOf(j *tracker.Job) admitter.Pool {
	return admitter.Pool{Service: j.Queue.Service, Priority: j.Queue.Priority}
}

// longRunningRoom returns the capacity of a service's VMs that no long-running task holds or waits for.
func (o *owner) longRunningRoom(service string) *admitter.Room {
	var list []admitter.LongRunningVM
	for _, vm := range o.state.VMs {
		if !vm.Attached || !vm.Ready || vm.Service != service && service != "" {
			continue
		}
		v := admitter.LongRunningVM{CPUMillis: vm.Capacity.CPUMillis - vm.LongRunningCPU, MemoryMB: vm.Capacity.MemoryMB}
		for _, r := range vm.Runs {
			if r.Step().Spec.LongRunning {
				v.MemoryMB -= r.Step().Spec.Needs.MemoryMB
			}
		}
		list = append(list, v)
	}
	var waiting []admitter.LongRunningTask
	for _, s := range o.state.OpenSteps() {
		if !s.Spec.LongRunning || s.Occurrence.Job.Queue.Service != service {
			continue
		}
		for _, t := range s.Tasks {
			if len(t.Runs) == 0 {
				waiting = append(waiting, admitter.LongRunningTask{CPUMillis: s.Spec.Needs.CPUMillis, MemoryMB: s.Spec.Needs.MemoryMB})
			}
		}
	}
	return admitter.RoomOf(list, waiting)
}

// sampleDrain measures how much work was done since the last sample, by pool. A pool that is not
// saturated at either end of the time is not measured.
func (o *owner) sampleDrain(b admitter.Backlog, now time.Time) {
	a := o.load.admission
	took := now.Sub(a.sampledAt)
	done, left := make(map[admitter.Pool]float64), make(map[occurrenceKey]float64)
	for _, j := range o.state.OpenJobs() {
		for _, occurrence := range j.Occurrences {
			total, rest := occurrence.RemainingWork()
			k := occurrenceKey{j.Spec.ID, occurrence.Number}
			before, known := a.left[k]
			if !known {
				before = total
			}
			left[k] = rest
			done[poolOf(j)] += before - rest
		}
	}
	for k, before := range a.left {
		if _, open := left[k]; open {
			continue
		}
		if j := o.state.Jobs[k.job]; j != nil && (j.State == tracker.JobDone || !j.State.Final()) {
			done[poolOf(j)] += before
		}
	}
	saturated := make(map[admitter.Pool]bool)
	for pool := range b.Ready {
		saturated[pool] = b.Saturated(pool)
	}
	if !a.sampledAt.IsZero() {
		for pool, now := range saturated {
			if now && a.saturated[pool] {
				a.meter.Observe(pool, done[pool], took)
			}
		}
	}
	a.left, a.saturated, a.sampledAt = left, saturated, now
}

// checkStarts compares the jobs that were admitted under a bound with it: by the owner's own estimate
// when it first sees them, and when the bound has passed.
func (o *owner) checkStarts(rows []admitter.Row, now time.Time) {
	a := o.load.admission
	open := make(map[string]bool)
	for _, j := range o.state.OpenJobs() {
		if j.Spec.StartByMillis == 0 || j.Started {
			continue
		}
		id, startBy := j.Spec.ID, time.UnixMilli(j.Spec.StartByMillis)
		open[id] = true
		if !a.judged[id] {
			a.judged[id] = true
			if wait, known := admitter.WaitAt(rows, j.Spec.Queue, j.Spec.Account, planner.FreshRank(j.Spec)); known && now.Add(wait).After(startBy) {
				o.s.config.Metrics.admittedAboveBound(j.Spec.Queue)
			}
		}
		if now.After(startBy) && !a.overdue[id] {
			a.overdue[id] = true
			o.s.config.Metrics.startOverdue(j.Spec.Queue)
			o.s.config.Reporter.Report(reporter.JobStartOverdue, reporter.Fields{
				"job": id, "queue": j.Spec.Queue, "account": j.Spec.Account, "start-by": startBy.UTC().Format(time.RFC3339Nano),
				"since-accepted": now.Sub(j.Spec.Due(0)).String(), "drain": math.Round(a.meter.Drain(poolOf(j))), "policy": o.state.Policy().Version,
			})
		}
	}
	for _, seen := range []map[string]bool{a.judged, a.overdue} {
		for id := range seen {
			if !open[id] {
				delete(seen, id)
			}
		}
	}
}

// reportBacklogs logs the pools in which a backlog has begun or ended.
func (o *owner) reportBacklogs(b admitter.Backlog, now time.Time) {
	a := o.load.admission
	work, jobs := make(map[admitter.Pool]float64), make(map[admitter.Pool]int)
	for _, w := range b.Waiting {
		work[w.Pool] += w.Work
		jobs[w.Pool]++
	}
	for _, q := range b.Queues {
		drain, wait := a.meter.Drain(q.Pool), time.Duration(0)
		if drain > 0 && b.Saturated(q.Pool) {
			wait = specifier.Span(work[q.Pool] / drain * float64(time.Second))
		}
		if has := wait >= backlogWait; has != a.backlogged[q.Pool] && now.Sub(a.reportedAt[q.Pool]) >= backlogReportInterval {
			a.backlogged[q.Pool], a.reportedAt[q.Pool] = has, now
			o.s.config.Reporter.Report(reporter.BacklogChanged, reporter.Fields{
				"service": q.Pool.Service, "priority": q.Pool.Priority, "backlog": has, "jobs": jobs[q.Pool], "work": math.Round(work[q.Pool]),
				"drain": math.Round(drain), "ready": math.Round(b.Ready[q.Pool]), "running": math.Round(b.Running[q.Pool]), "wait": wait.Round(time.Millisecond).String(), "table": a.version, "epoch": o.epoch,
			})
		}
	}
}

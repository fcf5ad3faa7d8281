package scheduler

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"bamboospread/internal/job/admitter"
	"bamboospread/internal/job/forecaster"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// maxQueueAccounts is the number of accounts that the explanation of a queue lists.
const maxQueueAccounts = 20

// explainQueue returns the load of a queue.
func (o *owner) explainQueue(ctx context.Context, r messenger.WorkQueueRequest) (messenger.WorkQueueReply, error) {
	return ask(ctx, o, func(o *owner) messenger.WorkQueueReply { return o.queueStatus(r.Queue, o.s.config.Now()) })
}

func (o *owner) queueStatus(name string, now time.Time) messenger.WorkQueueReply {
	q, defined := o.state.Policy().QueueByName(name)
	a := messenger.WorkQueueReply{Queue: name, Epoch: o.epoch, Priority: q.Priority}
	accounts := make(map[string]*messenger.WorkQueueAccount)
	var oldest *tracker.Step
	for _, j := range o.state.OpenJobs() {
		if j.Spec.Queue != name {
			continue
		}
		a.Jobs++
		if !j.Started {
			a.NotStarted++
		}
		for _, occurrence := range j.Occurrences {
			for _, s := range occurrence.Steps {
				if countStep(&a, accounts, s, now) && (oldest == nil || s.ReadyAt.Before(oldest.ReadyAt)) {
					oldest = s
				}
			}
		}
	}
	a.Known = defined || a.Jobs > 0
	if oldest != nil {
		in := o.input(now)
		in.Cache = nil
		a.Oldest, a.Reason = oldest.Name(), planner.Explain(in, oldest)
	}
	for _, row := range accounts {
		a.Accounts = append(a.Accounts, *row)
	}
	slices.SortFunc(a.Accounts, func(x, y messenger.WorkQueueAccount) int {
		return cmp.Or(cmp.Compare(y.Backlog, x.Backlog), cmp.Compare(x.Account, y.Account))
	})
	a.Accounts = a.Accounts[:min(len(a.Accounts), maxQueueAccounts)]
	a.Admission, a.Forecast = o.queueAdmission(name, now), o.queueForecast(name, now)
	return a
}

// countStep adds the tasks of a step and reports whether some of them wait for capacity.
func countStep(a *messenger.WorkQueueReply, accounts map[string]*messenger.WorkQueueAccount, s *tracker.Step, now time.Time) (waits bool) {
	for _, t := range s.Tasks {
		switch {
		case len(t.Runs) > 0:
			a.RunningTasks++
			a.RunningCores += float64(s.Spec.Needs.CPUMillis) / 1000
		case t.Done:
		case !s.Ready():
			a.BlockedTasks++
		case t.Waits(now):
			waits = true
			name := planner.AccountName(s.Occurrence.Job.Spec.Account)
			row := accounts[name]
			if row == nil {
				row = &messenger.WorkQueueAccount{Account: name}
				accounts[name] = row
			}
			wait := t.CapacityWait(now).Milliseconds()
			a.WaitingTasks, row.WaitingTasks = a.WaitingTasks+1, row.WaitingTasks+1
			a.LongestMillis, row.LongestMillis = max(a.LongestMillis, wait), max(row.LongestMillis, wait)
			if !s.Spec.LongRunning {
				a.Backlog, row.Backlog = a.Backlog+s.Spec.CoreSeconds(), row.Backlog+s.Spec.CoreSeconds()
			}
		}
	}
	return waits
}

// queueAdmission returns what entries decide by, or nil if admission is not asked for.
func (o *owner) queueAdmission(name string, now time.Time) *messenger.WorkQueueAdmission {
	q, defined := o.state.Policy().QueueByName(name)
	if !o.asked().Admission || !defined {
		return nil
	}
	a := &messenger.WorkQueueAdmission{Drain: o.load.admission.meter.Drain(admitter.Pool{Service: q.Service, Priority: q.Priority}), Refusing: o.load.admission.published.Load() != nil}
	if wait, known := admitter.WaitAt(admitter.Tabulate(o.backlog(now)), name, "", math.Inf(1)); known {
		a.WaitMillis = wait.Milliseconds()
	}
	return a
}

// queueForecast returns the predicted demand of a queue's urgent tasks, or nil if none is known.
func (o *owner) queueForecast(name string, now time.Time) *messenger.WorkQueueForecast {
	if !o.asked().Forecast {
		return nil
	}
	f, known := o.load.forecaster.Forecast(name, now, forecaster.Horizon)
	if !known {
		return nil
	}
	cores := func(millis float64) float64 { return math.Round(millis/10) / 100 }
	return &messenger.WorkQueueForecast{
		Present: cores(f.Present), Mean: cores(f.Mean), Error: cores(f.Error), Reserve: cores(f.Reserve), MeanError: math.Round(1000*f.MeanError) / 1000, Trusted: f.Trusted,
	}
}

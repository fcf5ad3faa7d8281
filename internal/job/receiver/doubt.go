package receiver

import (
	"context"
	"sync"
	"time"

	"bamboospread/internal/job/scheduler"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
)

// maxDoubts bounds the jobs in doubt that an entry keeps. The oldest are forgotten first.
const maxDoubts = 10_000

// doubts holds the jobs whose submissions have an unknown outcome: they are not stored, and a write may
// still store them. The zero value is ready for use. It is safe for concurrent use.
type doubts struct {
	mu    sync.Mutex
	until map[string]time.Time // by job
	order []doubt              // oldest first; may include jobs that were removed or added again
}

type doubt struct {
	job   string
	until time.Time
}

func (d *doubts) add(job string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	until := now.Add(scheduler.LateWriteTime)
	d.until[job] = until
	d.order = append(d.order, doubt{job, until})
	for len(d.order) > maxDoubts || len(d.order) > 0 && !now.Before(d.order[0].until) {
		if first := d.order[0]; d.until[first.job].Equal(first.until) {
			delete(d.until, first.job)
		}
		d.order = d.order[1:]
	}
}

func (d *doubts) remove(job string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.until, job)
}

func (d *doubts) contains(job string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[job])
}

// reportDoubt keeps a job whose submission has an unknown outcome, and tells the owner of it, which other
// entries ask for the state of jobs.
func (r *Receiver) reportDoubt(ctx context.Context, job, reason string) {
	r.config.Reporter.Report(reporter.JobOutcomeUnknown, reporter.Fields{"job": job, "reason": reason})
	r.doubts.add(job, r.config.Now())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), scheduler.LateWriteTime)
	go func() {
		defer cancel()
		err := r.config.CallOwner(ctx, messenger.MethodWorkDoubt, messenger.WorkStateRequest{Job: job}, nil)
		if err != nil {
			r.config.Reporter.Report(reporter.OwnerUnreachable, reporter.Fields{"job": job, "error": err.Error()})
		}
	}()
}

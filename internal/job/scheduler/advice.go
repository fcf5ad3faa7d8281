package scheduler

import (
	"context"
	"fmt"
	"time"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
)

// adviceQueueTime is added to the service's declared response time, since requests of
// others may be queued first.
const adviceQueueTime = 2 * time.Second

// requestAdvice calls the advising service. It sends one request at a time, since the service
// accepts only one at a time from each VM.
func (o *owner) requestAdvice(ctx context.Context, now time.Time) {
	if o.advicePending || o.s.config.Advise == nil {
		return
	}
	q, ok := planner.NextAdviceRequest(o.input(now))
	if !ok {
		return
	}
	o.advicePending = true
	queue := q.Step.Occurrence.Job.Queue
	id := fmt.Sprintf("%s.%d.%d", q.Step.Occurrence.Job.Spec.ID, q.Step.Occurrence.Number, q.Step.Number)
	e := &adviceResult{request: q, step: id, incarnations: make(map[string]string), until: now.Add(queue.AdviceValid)}
	var workers []string
	for _, vm := range q.VMs {
		workers = append(workers, vm.WorkerID)
		e.incarnations[vm.Name] = vm.Incarnation
	}
	limit := specifier.Span(float64(queue.AdviceTime) + float64(len(workers))*float64(queue.AdvicePerVM) + float64(adviceQueueTime))
	go func() {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		e.tickets, e.err = o.s.config.Advise(call, id, workers)
		_ = o.send(context.WithoutCancel(ctx), e) // fails only if the loop has ended
	}()
}

// adviceResult is the answer of the advising service.
type adviceResult struct {
	request      planner.AdviceRequest
	step         string
	incarnations map[string]string // of the workers at the time of the request, by VM
	until        time.Time
	tickets      map[string]string // by worker
	err          error
}

func (e *adviceResult) apply(o *owner, now time.Time) {
	o.advicePending, o.dirty = false, true
	s := e.request.Step
	tickets, allowed := make(map[string]tracker.Ticket), 0
	for _, vm := range e.request.VMs {
		t := tracker.Ticket{Incarnation: e.incarnations[vm.Name]}
		if text, ok := e.tickets[vm.WorkerID]; ok {
			allowed++
			t.Text, t.Until = text, e.until
		}
		tickets[vm.Name] = t
	}
	if e.err != nil {
		s.RecordAdviceFailure(now)
	} else {
		s.RecordAdvice(tickets, now)
	}
	fields := reporter.Fields{"step": e.step, "asked": len(e.request.VMs), "allowed": allowed}
	switch {
	case e.err != nil:
		fields["error"] = e.err.Error()
	case allowed == 0:
		fields["ask-again-in"] = s.Advice.AskAgainAt.Sub(now).String()
	}
	o.s.config.Reporter.Report(reporter.AdviceReceived, fields)
}

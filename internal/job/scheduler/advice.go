package scheduler

import (
	"context"
	"fmt"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/planner"
	"bamboospread/internal/kernel/reporter"
)

const (
	// advicePause is how long a step waits after a question that gave no ticket.
	advicePause = 300 * time.Millisecond
	// adviceSlack is what an answer may take beyond its declared time: others'
	// questions may be before it.
	adviceSlack = 2 * time.Second
)

// askAdvice asks the advising service, one question at a time, since it takes them
// one at a time from each VM.
func (o *owner) askAdvice(ctx context.Context, now time.Time) {
	if o.asking || o.s.config.Advise == nil {
		return
	}
	q, ok := planner.Ask(planner.Input{Now: now, State: o.state})
	if !ok {
		return
	}
	o.asking = true
	queue := q.Step.Occurrence.Job.Queue
	id := fmt.Sprintf("%s.%d.%d", q.Step.Occurrence.Job.Spec.ID, q.Step.Occurrence.Number, q.Step.Number)
	e := &advised{question: q, step: id, lives: make(map[string]string), until: now.Add(queue.AdviceValid)}
	var workers []string
	for _, vm := range q.VMs {
		workers = append(workers, vm.WorkerID)
		e.lives[vm.Name] = vm.Life
	}
	limit := queue.AdviceTime + time.Duration(len(workers))*queue.AdvicePerVM + adviceSlack
	go func() {
		call, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		e.tickets, e.err = o.s.config.Advise(call, id, workers)
		_ = o.send(context.WithoutCancel(ctx), e) // the loop has ended if it cannot be told
	}()
}

// advised is the answer to a question.
type advised struct {
	question planner.Question
	step     string
	lives    map[string]string // of the workers when they were asked about, by VM
	until    time.Time
	tickets  map[string]string // by worker
	err      error
}

func (e *advised) apply(o *owner, now time.Time) {
	o.asking, o.dirty = false, true
	s := e.question.Step
	if s.Tickets == nil {
		s.Tickets = make(map[string]accountant.Ticket)
	}
	given := 0
	for _, vm := range e.question.VMs {
		text, ok := e.tickets[vm.WorkerID]
		t := accountant.Ticket{Life: e.lives[vm.Name]} // asked, and refused
		if ok {
			given++
			t.Text, t.Until = text, e.until
		}
		if e.err == nil {
			s.Tickets[vm.Name] = t
		}
	}
	if given == 0 {
		s.AdviseAt = now.Add(advicePause)
	}
	fields := reporter.Fields{"step": e.step, "asked": len(e.question.VMs), "allowed": given}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	o.s.config.Reporter.Report(reporter.AdviceTaken, fields)
}

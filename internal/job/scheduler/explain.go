package scheduler

import (
	"context"

	"bamboospread/internal/job/planner"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/wire/messenger"
)

// explain returns the state of a job by step and the reasons why its tasks wait.
func (o *owner) explain(ctx context.Context, r messenger.WorkStateRequest) (messenger.WorkExplainReply, error) {
	return ask(ctx, o, func(o *owner) messenger.WorkExplainReply {
		j := o.state.Jobs[r.Job]
		if j == nil {
			return messenger.WorkExplainReply{Job: r.Job, Epoch: o.epoch}
		}
		a := messenger.WorkExplainReply{
			Known: true, Job: r.Job, Queue: j.Spec.Queue, State: string(j.ReportedState()), Reason: j.ReportedReason(), Epoch: o.epoch,
			Unreconciled: !j.ReconcileAt.IsZero(), Occurrences: j.Spec.OccurrenceCount(), Finished: j.Finished,
			StartByMillis: j.Spec.StartByMillis,
		}
		in := o.input(o.s.config.Now())
		in.Cache = nil
		for _, occurrence := range j.Occurrences {
			for _, s := range occurrence.Steps {
				a.Steps = append(a.Steps, stepStatus(in, s))
			}
		}
		return a
	})
}

func stepStatus(in planner.Input, s *tracker.Step) messenger.WorkStepStatus {
	w := messenger.WorkStepStatus{Occurrence: s.Occurrence.Number, Step: s.Number, Tasks: len(s.Tasks), Done: s.Done}
	for _, t := range s.Tasks {
		w.Failures += len(t.Failed())
		for _, r := range t.Runs {
			w.Running++
			w.Runs = append(w.Runs, messenger.WorkRunStatus{Task: r.Key().Task.String(), Run: r.Number, VM: r.VM.Name, State: r.State.String()})
		}
		if !t.Done && len(t.Runs) == 0 {
			w.Waiting++
		}
	}
	for _, id := range s.SuspectedTaskIDs() {
		w.Suspected = append(w.Suspected, id.String())
	}
	if w.Waiting > 0 {
		w.Reason = planner.Explain(in, s)
	}
	return w
}

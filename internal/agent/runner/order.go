package runner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// take carries out a reply to the poll that was sent at the given time.
func (r *Runner) take(ctx context.Context, sent time.Time, p messenger.Poll, reply messenger.PollReply) error {
	if reply.Epoch < r.epoch {
		// A process that lost the cell while it was paused: its successor may
		// have given the tasks away, so neither its orders nor its leases count.
		r.config.Reporter.Report(reporter.RunnerReplyRefused, reporter.Fields{"epoch": reply.Epoch, "seen": r.epoch})
		return fmt.Errorf("reply of epoch %d after epoch %d", reply.Epoch, r.epoch)
	}
	r.epoch = reply.Epoch
	r.noteSession(true, nil)
	r.leaseUntil = sent.Add(messenger.FromMillis(reply.LeaseMillis))
	if err := r.renew(ctx); err != nil {
		return err
	}
	for _, at := range reply.Acked {
		if err := r.config.Driver.ForgetTask(ctx, at.TaskID, at.Attempt); err == nil {
			delete(r.refused, at)
		}
	}
	if p.Leaving {
		select {
		case <-r.left:
		default:
			close(r.left)
		}
	}
	r.carryOut(ctx, sent, reply.Orders)
	return nil
}

// renew lets the worker's tasks run as long as the VM's lease. The worker ends
// them by itself then, so that the lease holds also when this agent is paused
// or dead. It is a moment, not a length, so a pause before the call adds nothing.
func (r *Runner) renew(ctx context.Context) error {
	if err := r.config.Driver.RenewLeasesUntil(ctx, r.leaseUntil.Round(0)); err != nil {
		return fmt.Errorf("renew leases at worker: %w", err)
	}
	return nil
}

// refusal is an order that was not carried out.
type refusal struct {
	order  messenger.Order
	state  messenger.ReportState
	reason string
}

// carryOut carries orders out and returns when all are done, so that the next
// poll tells of each.
func (r *Runner) carryOut(ctx context.Context, sent time.Time, orders []messenger.Order) {
	room := r.room()
	refusals := make(chan refusal, len(orders))
	slots := make(chan struct{}, ordersAtOnce)
	var wait sync.WaitGroup
	for _, order := range orders {
		reason := ""
		if order.Kind == messenger.OrderStart {
			if reason = r.objection(order, sent, room); reason == "" && !r.runs(order) {
				room = room.Sub(order.Needs)
			}
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer func() { <-slots; wait.Done() }()
			if refused := r.perform(ctx, order, sent, reason); refused != nil {
				refusals <- *refused
			}
		}()
	}
	wait.Wait()
	close(refusals)
	for refused := range refusals {
		r.noteRefusal(refused)
	}
}

func (r *Runner) noteRefusal(f refusal) {
	at := messenger.TaskAttempt{TaskID: f.order.TaskID, Attempt: f.order.Attempt}
	r.refused[at] = messenger.TaskReport{
		TaskID: at.TaskID, Attempt: at.Attempt, State: f.state, Reason: f.reason,
		Needs: f.order.Needs, Class: f.order.Class, Tenant: f.order.Tenant, Service: f.order.Service,
	}
	r.config.Reporter.Report(reporter.RunnerOrderRefused, reporter.Fields{
		"kind": string(f.order.Kind), "task": at.TaskID, "attempt": at.Attempt, "reason": f.reason,
	})
}

// room returns what is free on the VM by the worker's own list.
func (r *Runner) room() describer.Resources {
	room := r.capacity.Total
	replicas := make(map[string]int)
	for _, t := range r.tasks {
		if t.State == messenger.ReportRunning {
			room = room.Sub(t.Needs)
			if t.Service != "" {
				replicas[t.Service]++
			}
		}
	}
	if r.config.ServiceNeeds == nil {
		return room
	}
	for _, u := range r.upstreams() {
		if replicas[u.Service] > 0 { // the upstream of a replica task counts once
			replicas[u.Service]--
			continue
		}
		if needs, ok := r.config.ServiceNeeds(u.Service); ok {
			room = room.Sub(needs)
		}
	}
	return room
}

// objection tells why a start is refused.
func (r *Runner) objection(o messenger.Order, sent time.Time, room describer.Resources) string {
	now := r.config.Now()
	switch {
	case o.Epoch < r.epoch:
		return "order of an earlier owner"
	case r.leaving.Load():
		return "agent is leaving"
	case r.since(sent, now) > messenger.FromMillis(o.VoidAfterMillis):
		// The zone may have been taken out since the owner looked; the order's
		// life bounds how long a paused process can hold it back.
		return "order is void, it came too late"
	case !now.Before(r.leaseUntil):
		return "lease of the VM has run out"
	}
	if !r.runs(o) && !o.Needs.Fits(room) {
		// The owner counts commitments too. This is the second line: it holds
		// when an owner's books are wrong about this VM.
		return "does not fit beside what runs on the VM"
	}
	return ""
}

// runs tells whether the attempt of an order runs already: the order was sent
// again since its first effect was not reported yet.
func (r *Runner) runs(o messenger.Order) bool {
	for _, t := range r.tasks {
		if t.TaskID == o.TaskID && t.Attempt == o.Attempt && t.State == messenger.ReportRunning {
			return true
		}
	}
	return false
}

// since compares the wall clock as well, since the monotonic clock stands still
// while a whole VM is suspended.
func (r *Runner) since(then, now time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

func (r *Runner) perform(ctx context.Context, o messenger.Order, sent time.Time, objection string) *refusal {
	switch o.Kind {
	case messenger.OrderStart:
		if objection != "" {
			return r.bury(ctx, o, messenger.ReportRefused, objection)
		}
		return r.start(ctx, o, sent)
	case messenger.OrderStop:
		_, err := r.config.Driver.StopTask(ctx, o.TaskID, o.Attempt)
		return stopped(o, err)
	case messenger.OrderCheckpoint:
		_, err := r.config.Driver.CheckpointTask(ctx, o.TaskID, o.Attempt)
		return stopped(o, err)
	case messenger.OrderThrottle:
		// Nothing is noted of one that fails: the next poll tells the percent that
		// is in force, and the owner orders again.
		_ = r.config.Driver.ThrottleTask(ctx, o.TaskID, o.Attempt, o.Percent)
	}
	return nil
}

// stopped notes that an attempt is over at the worker. If the worker lists it,
// its own report replaces this one; if not, it was never started.
func stopped(o messenger.Order, err error) *refusal {
	if err != nil {
		return nil // the owner sends the order again
	}
	return &refusal{order: o, state: messenger.ReportRefused, reason: "never started on this VM"}
}

func (r *Runner) start(ctx context.Context, o messenger.Order, sent time.Time) *refusal {
	err := r.config.Driver.StartTask(ctx, driver.StartOptions{
		TaskID: o.TaskID, Attempt: o.Attempt, Needs: o.Needs, Class: o.Class, Tenant: o.Tenant,
		Service: o.Service, Payload: o.Payload, Checkpoint: o.Checkpoint, RunTime: messenger.FromMillis(o.RunTime),
		LeaseUntil: r.leaseUntil.Round(0),
		StartBy:    sent.Round(0).Add(messenger.FromMillis(o.VoidAfterMillis)),
	})
	switch {
	case err == nil:
		return nil
	case driver.IsErrTooLate(err):
		return r.bury(ctx, o, messenger.ReportRefused, "order is void, it came too late")
	case driver.IsErrAttemptOver(err):
		return r.bury(ctx, o, messenger.ReportRefused, "attempt is over")
	case driver.IsErrOutcomeUnknown(err):
		return r.bury(ctx, o, messenger.ReportRefused, "the worker did not answer")
	}
	return r.bury(ctx, o, messenger.ReportFailed, "the worker refused the start: "+err.Error())
}

// bury leaves a tombstone at the worker, so that the attempt can't start any
// more, also by a call that is still on its way. Only then is it reported as
// not started: the owner will run the task elsewhere.
func (r *Runner) bury(ctx context.Context, o messenger.Order, state messenger.ReportState, reason string) *refusal {
	if _, err := r.config.Driver.StopTask(ctx, o.TaskID, o.Attempt); err != nil {
		return nil // the owner sends the start again, or withdraws it
	}
	return &refusal{order: o, state: state, reason: reason}
}

package runner

import (
	"context"
	"fmt"
	"sync"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/wire/messenger"
	"bamboospread/internal/worker/driver"
)

// applyReply executes the reply to the poll that was sent at the given time.
func (r *Runner) applyReply(ctx context.Context, sent reading, p messenger.Poll, reply messenger.PollReply) error {
	if reply.Epoch < r.epoch {
		// The reply comes from a process that lost the cell while it was paused.
		// Its successor may have assigned the tasks elsewhere, so neither its
		// orders nor its leases are valid.
		r.config.Reporter.Report(reporter.RunnerReplyRefused, reporter.Fields{"epoch": reply.Epoch, "seen": r.epoch})
		return fmt.Errorf("reply of epoch %d after epoch %d", reply.Epoch, r.epoch)
	}
	r.epoch = reply.Epoch
	r.setConnected(true, nil)
	r.leaseUntil, r.renewalDue = sent.add(messenger.FromMillis(reply.LeaseMillis)), true
	if err := r.renewLeases(ctx); err != nil {
		return err
	}
	for _, at := range reply.Acked {
		if err := r.config.Driver.ForgetTask(ctx, at.TaskID, at.Attempt); err == nil {
			delete(r.refused, at)
			if r.sentStarts[at.TaskID].attempt == at.Attempt {
				delete(r.sentStarts, at.TaskID)
			}
		}
	}
	if p.Leaving {
		select {
		case <-r.leavingAcked:
		default:
			close(r.leavingAcked)
		}
	}
	r.executeOrders(ctx, sent, reply.Orders)
	return nil
}

// renewLeases sets the leases of the worker's tasks to the lease of the VM. The
// worker itself ends tasks whose lease has expired, so that the lease also holds
// when this agent is paused or has exited. The lease is a point in time and not a
// duration, so a pause before the call does not extend it.
func (r *Runner) renewLeases(ctx context.Context) error {
	if err := r.config.Driver.RenewLeasesUntil(ctx, r.leaseUntil.time.Round(0), r.leaseUntil.clock); err != nil {
		return fmt.Errorf("renew leases at worker: %w", err)
	}
	r.renewalDue = false
	return nil
}

// refusal is an order that was not executed.
type refusal struct {
	order       messenger.Order
	state       messenger.ReportState
	reason      string
	unavailable bool // the worker was unavailable
	endUnknown  bool // it may have run in a former life of the worker
}

// result is the effect of an order.
type result struct {
	instruction instruction
	refused     *refusal
	unsent      bool // the worker has not carried out the start that this order caused
}

// executeOrders executes orders and returns when all are done, so that the next
// poll reports the effect of each.
func (r *Runner) executeOrders(ctx context.Context, sent reading, orders []messenger.Order) {
	free := r.freeCapacity()
	results := make(chan result, len(orders))
	slots := make(chan struct{}, maxConcurrentOrders)
	var wait sync.WaitGroup
	for _, order := range orders {
		i := r.instruct(order, sent)
		if order.Kind == messenger.OrderStart && !i.isForFormerLife() {
			if i.refuseReason = r.checkStart(order, sent, free); i.refuseReason == "" {
				r.recordStart(&i)
				if !r.isRunning(order) {
					free = free.Sub(order.Needs)
				}
			}
		}
		slots <- struct{}{}
		wait.Add(1)
		go func() {
			defer func() { <-slots; wait.Done() }()
			results <- r.execute(ctx, i)
		}()
	}
	wait.Wait()
	close(results)
	for done := range results {
		if done.refused != nil {
			r.recordRefusal(*done.refused)
		}
		if done.unsent && done.instruction.first {
			delete(r.sentStarts, done.instruction.order.TaskID)
		}
	}
}

func (r *Runner) recordRefusal(f refusal) {
	at := messenger.TaskAttempt{TaskID: f.order.TaskID, Attempt: f.order.Attempt}
	r.refused[at] = messenger.TaskReport{
		TaskID: at.TaskID, Attempt: at.Attempt, State: f.state, Reason: f.reason,
		Needs: f.order.Needs, Class: f.order.Class, Tenant: f.order.Tenant, Service: f.order.Service,
		Unavailable: f.unavailable, EndUnknown: f.endUnknown,
	}
	r.config.Reporter.Report(reporter.RunnerOrderRefused, reporter.Fields{
		"kind": string(f.order.Kind), "task": at.TaskID, "attempt": at.Attempt, "reason": f.reason,
	})
}

// freeCapacity returns the free capacity of the VM according to the worker's list
// of tasks.
func (r *Runner) freeCapacity() describer.Resources {
	free := r.capacity.Total
	replicas := make(map[string]int)
	for _, t := range r.tasks {
		if t.State == messenger.ReportRunning {
			free = free.Sub(t.Needs)
			if t.Service != "" {
				replicas[t.Service]++
			}
		}
	}
	if r.config.ServiceNeeds == nil {
		return free
	}
	for _, u := range r.upstreams() {
		if replicas[u.Service] > 0 { // count the upstream of a replica task only once
			replicas[u.Service]--
			continue
		}
		if needs, ok := r.config.ServiceNeeds(u.Service); ok {
			free = free.Sub(needs)
		}
	}
	return free
}

// checkStart returns why a start must be refused, or an empty string.
func (r *Runner) checkStart(o messenger.Order, sent reading, free describer.Resources) string {
	now := r.readClocks()
	switch {
	case o.Epoch < r.epoch:
		return "order of an earlier owner"
	case r.leaving.Load():
		return "agent is leaving"
	case now.since(sent) > messenger.FromMillis(o.ExpiresAfterMillis):
		// The zone may have been taken out since the owner decided; the expiry of
		// the order bounds how long a paused process can delay it.
		return "order expired before it was executed"
	case !now.before(r.leaseUntil):
		return "lease of the VM has expired"
	}
	if !r.isRunning(o) && !o.Needs.Fits(free) {
		// The owner tracks commitments too. This check holds even if the owner's
		// state of this VM is wrong.
		return "does not fit into the free capacity of the VM"
	}
	return ""
}

// isRunning reports whether the attempt of an order is already running: the
// order was sent again because its effect was not reported yet.
func (r *Runner) isRunning(o messenger.Order) bool {
	for _, t := range r.tasks {
		if t.TaskID == o.TaskID && t.Attempt == o.Attempt && t.State == messenger.ReportRunning {
			return true
		}
	}
	return false
}

// execute executes one order. A start with a reason to refuse it is not run.
func (r *Runner) execute(ctx context.Context, i instruction) result {
	o := i.order
	switch {
	case o.Kind == messenger.OrderThrottle:
		// An error is not recorded: the next poll reports the percentage in force,
		// and the owner sends the order again.
		_ = r.config.Driver.ThrottleTask(ctx, o.TaskID, o.Attempt, o.Percent)
		return result{instruction: i}
	case o.Kind != messenger.OrderStart:
		// If the worker lists the attempt, its report replaces this one; if not, the
		// attempt was never started.
		return result{instruction: i, refused: r.end(ctx, i, messenger.ReportRefused, "never started on this VM")}
	case i.isForFormerLife():
		return result{instruction: i, refused: r.end(ctx, i, messenger.ReportLost, "")}
	case i.refuseReason != "":
		return result{instruction: i, refused: r.end(ctx, i, messenger.ReportRefused, i.refuseReason)}
	}
	return r.start(ctx, i)
}

func (r *Runner) start(ctx context.Context, i instruction) result {
	o := i.order
	startBy := i.sent.add(messenger.FromMillis(o.ExpiresAfterMillis))
	err := r.config.Driver.StartTask(ctx, driver.StartOptions{
		TaskID: o.TaskID, Attempt: o.Attempt, Needs: o.Needs, Class: o.Class, Tenant: o.Tenant,
		Service: o.Service, Payload: o.Payload, Checkpoint: o.Checkpoint, RunTime: messenger.FromMillis(o.RunTime),
		LeaseUntil: r.leaseUntil.time.Round(0), LeaseUntilClock: r.leaseUntil.clock,
		StartBy: startBy.time.Round(0), StartByClock: startBy.clock, Life: i.present,
	})
	done := result{instruction: i, unsent: driver.IsErrNotSent(err) || driver.IsErrStartExpired(err)}
	if !done.unsent {
		i.startedIn = i.present
	}
	switch {
	case err == nil:
	case driver.IsErrUnavailable(err):
		if done.refused = r.end(ctx, i, messenger.ReportRefused, "the worker was unavailable: "+err.Error()); done.refused != nil {
			done.refused.unavailable = !done.refused.endUnknown
		}
	case driver.IsErrStartExpired(err):
		done.refused = r.end(ctx, i, messenger.ReportRefused, "order expired before it was executed")
	case driver.IsErrAttemptEnded(err):
		done.refused = r.end(ctx, i, messenger.ReportRefused, "attempt has ended or a later one exists")
	case driver.IsErrOutcomeUnknown(err):
		done.refused = r.end(ctx, i, messenger.ReportRefused, "the worker did not answer the start")
	default:
		done.refused = r.end(ctx, i, messenger.ReportFailed, "the worker refused the start: "+err.Error())
	}
	return done
}

// end ends the attempt of an order at the worker, which records a tombstone, so that the attempt can't start
// any more, not even by a call that is still in transit. Only then is it reported, and the owner will run the
// task elsewhere. The answer of a life of the worker that the attempt was not sent to does not show that it has
// not run, nor that it has not completed.
func (r *Runner) end(ctx context.Context, i instruction, state messenger.ReportState, reason string) *refusal {
	life, err := r.config.Driver.EndTask(ctx, i.order.TaskID, i.order.Attempt, i.order.Kind == messenger.OrderCheckpoint)
	if err != nil {
		return nil // the owner sends the order again, or withdraws the start
	}
	if i.startedIn != "" && life != "" && life != i.startedIn {
		return &refusal{order: i.order, state: messenger.ReportLost, endUnknown: true, reason: "the worker has started again since the attempt was sent to it"}
	}
	return &refusal{order: i.order, state: state, reason: reason}
}

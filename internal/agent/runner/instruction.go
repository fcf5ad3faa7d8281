package runner

import "bamboospread/internal/wire/messenger"

// instruction is an order with what this process knows of its attempt.
type instruction struct {
	order        messenger.Order
	sent         reading // when the poll was sent that the order answers
	refuseReason string  // of a start; empty: it is sent
	startedIn    string  // life of the worker in which the attempt may have run; empty: none is known
	present      string  // life of the worker that listed its attempts last; empty: it names none
	first        bool    // of the starts of the attempt that this process sends
}

// sentStart is a start that was sent to the worker.
type sentStart struct {
	attempt int64
	life    string // of the worker
}

func (r *Runner) instruct(o messenger.Order, sent reading) instruction {
	i := instruction{order: o, sent: sent, present: r.config.Driver.Life()}
	start, known := r.sentStarts[o.TaskID]
	switch {
	case r.lists(o):
		i.startedIn = i.present
	case known && start.attempt == o.Attempt:
		i.startedIn = start.life
	case known && start.attempt > o.Attempt || o.AgentIncarnation != r.config.Incarnation:
		i.startedIn = o.WorkerLife // an earlier process may have sent it
	}
	return i
}

// isForFormerLife reports whether the attempt may have run in a life of the worker that has ended: the present
// one does not know whether it has completed, and would run it again.
func (i instruction) isForFormerLife() bool {
	return i.startedIn != "" && i.present != "" && i.startedIn != i.present
}

// recordStart records that a start is about to be sent.
func (r *Runner) recordStart(i *instruction) {
	i.first = r.sentStarts[i.order.TaskID].attempt != i.order.Attempt
	r.sentStarts[i.order.TaskID] = sentStart{attempt: i.order.Attempt, life: i.present}
}

// lists reports whether the worker has listed the attempt of an order.
func (r *Runner) lists(o messenger.Order) bool {
	for _, t := range r.tasks {
		if t.TaskID == o.TaskID && t.Attempt == o.Attempt {
			return true
		}
	}
	return false
}

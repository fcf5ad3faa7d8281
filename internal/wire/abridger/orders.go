package abridger

import (
	"fmt"
	"slices"
	"strings"

	"bamboospread/internal/wire/messenger"
)

// KeptPayloads is how many payloads an agent keeps in a session: those of the latest jobs of which it
// was ordered a start with its payload. Starts of a job mostly come together.
const KeptPayloads = 64

// PayloadAbridger is the owner's side of one session. It leaves the payload out of starts of jobs whose
// payload the agent has; the tasks of a job have the same. It is not safe for concurrent use.
type PayloadAbridger struct{ kept keptPayloads }

// NewPayloadAbridger returns a PayloadAbridger for an agent that keeps a number of payloads; 0 for an
// agent of an earlier build, which keeps none.
func NewPayloadAbridger(kept int) *PayloadAbridger {
	return &PayloadAbridger{newKeptPayloads(min(kept, KeptPayloads))}
}

// Abridge returns the abridged form of an order. All orders of the session must be sent, in this order.
func (a *PayloadAbridger) Abridge(o messenger.WorkOrder) messenger.WorkOrder {
	if o.Kind != messenger.WorkStart || a.kept.most <= 0 || o.Payload == "" {
		return o
	}
	job := jobOf(o)
	if _, ok := a.kept.byJob[job]; ok {
		o.Payload, o.KeptPayload = "", true
		return o
	}
	a.kept.add(job, "") // the text is not needed here
	return o
}

// PayloadRestorer is the agent's side of one session. It is not safe for concurrent use.
type PayloadRestorer struct{ kept keptPayloads }

// NewPayloadRestorer returns a PayloadRestorer that keeps KeptPayloads.
func NewPayloadRestorer() *PayloadRestorer { return &PayloadRestorer{newKeptPayloads(KeptPayloads)} }

// ErrPayloadNotExist is returned for a start without the payload of its job, which is not kept: an
// earlier order was lost, and a new session has to be opened.
type ErrPayloadNotExist struct{ Task string }

func (e ErrPayloadNotExist) Error() string {
	return fmt.Sprintf("the payload of task %s was in no earlier order of the session", e.Task)
}

// Restore adds the payloads that were left out of orders.
func (r *PayloadRestorer) Restore(orders []messenger.WorkOrder) error {
	for i, o := range orders {
		switch {
		case o.Kind != messenger.WorkStart:
		case o.KeptPayload:
			payload, ok := r.kept.byJob[jobOf(o)]
			if !ok {
				return ErrPayloadNotExist{o.Task}
			}
			orders[i].Payload, orders[i].KeptPayload = payload, false
		case o.Payload != "":
			r.kept.add(jobOf(o), o.Payload)
		}
	}
	return nil
}

// keptPayloads are the payloads of the latest jobs. Both sides of a session keep the same ones, since
// both see the same orders.
type keptPayloads struct {
	most  int
	byJob map[string]string
	jobs  []string // the earliest first
}

func newKeptPayloads(most int) keptPayloads {
	return keptPayloads{most: most, byJob: make(map[string]string)}
}

func (k *keptPayloads) add(job, payload string) {
	if _, ok := k.byJob[job]; ok {
		k.jobs = slices.DeleteFunc(k.jobs, func(j string) bool { return j == job })
	}
	k.jobs = append(k.jobs, job)
	k.byJob[job] = payload
	if len(k.jobs) > k.most {
		delete(k.byJob, k.jobs[0])
		k.jobs = k.jobs[1:]
	}
}

func jobOf(o messenger.WorkOrder) string {
	job, _, _ := strings.Cut(o.Task, ".")
	return job
}

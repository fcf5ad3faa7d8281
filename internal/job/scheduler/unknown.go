package scheduler

import (
	"context"
	"time"

	"bamboospread/internal/wire/messenger"
)

// Limits of what the owner keeps of jobs that it does not know.
const (
	// LateWriteTime is how long after a write without an answer the store may still carry it out.
	LateWriteTime = 10 * time.Second
	// unknownCancelRetention is how long the cancellation of an unknown job is kept. It is longer than
	// LateWriteTime and the time in which callers repeat submissions.
	unknownCancelRetention = time.Minute
	// maxUnknownCancels bounds these cancellations, and maxDoubts the jobs in doubt.
	maxUnknownCancels = 10_000
	maxDoubts         = 10_000
)

// unknownJobs holds what the owner keeps of jobs whose records have not arrived.
type unknownJobs struct {
	cancels map[string]time.Time // when the owner learned of their stored cancellations
	doubts  map[string]time.Time // until when a write may store them
}

func newUnknownJobs() unknownJobs {
	return unknownJobs{cancels: make(map[string]time.Time), doubts: make(map[string]time.Time)}
}

func (u unknownJobs) cancelsFull() bool { return len(u.cancels) >= maxUnknownCancels }

func (u unknownJobs) inDoubt(id string, now time.Time) bool { return now.Before(u.doubts[id]) }

// forget removes what is kept of a job whose record has arrived.
func (u unknownJobs) forget(id string) {
	delete(u.cancels, id)
	delete(u.doubts, id)
}

// addDoubt keeps a job whose submission has an unknown outcome. Beyond maxDoubts only the entry that
// received the submission knows of it.
func (u unknownJobs) addDoubt(id string, now time.Time) {
	if len(u.doubts) >= maxDoubts {
		u.expireDoubts(now)
	}
	if len(u.doubts) < maxDoubts {
		u.doubts[id] = now.Add(LateWriteTime)
	}
}

func (u unknownJobs) expireDoubts(now time.Time) {
	for id, until := range u.doubts {
		if !now.Before(until) {
			delete(u.doubts, id)
		}
	}
}

// expire removes what need not be kept any longer and returns the jobs whose cancellations are to be
// removed from the store.
func (u unknownJobs) expire(now time.Time) (cancels []string) {
	u.expireDoubts(now)
	for id, since := range u.cancels {
		if now.Sub(since) >= unknownCancelRetention {
			delete(u.cancels, id)
			cancels = append(cancels, id)
		}
	}
	return cancels
}

func (o *owner) addDoubt(ctx context.Context, r messenger.WorkStateRequest) (messenger.Empty, error) {
	return ask(ctx, o, func(o *owner) messenger.Empty {
		if o.state.Jobs[r.Job] == nil && !o.cancelled[r.Job] {
			o.unknown.addDoubt(r.Job, o.s.config.Now())
		}
		return messenger.Empty{}
	})
}

package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
)

var errNoAnswer = errors.New("no answer")

func newFollowScheduler(calls keeper.Calls) *Scheduler {
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 1, Slack: 2}}}
	return New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: calls})
}

// Guards against tasks of a cancelled job that continue for ten seconds: the connection of the
// owner's watch stalls, and the entry's hint is lost on another one.
func TestCancellationReceivedAfterWatchStalls(t *testing.T) {
	const receiveLimit = 3 * time.Second
	stalled := true
	s := newFollowScheduler(keeper.Calls{Watch: func(ctx context.Context, w keeper.WatchOptions) (keeper.WatchResult, error) {
		if stalled { // until the client times out
			stalled = false
			select {
			case <-ctx.Done():
			case <-time.After(w.Wait):
			}
			return keeper.WatchResult{}, errNoAnswer
		}
		if w.After >= 7 {
			<-ctx.Done()
			return keeper.WatchResult{}, ctx.Err()
		}
		return keeper.WatchResult{Revision: 7, Changes: []keeper.Change{{Record: keeper.Record{Key: CancelKey(stoppedJob), Revision: 7}}}}, nil
	}})
	o := newOwner(s, 1, tracker.New(tracker.Config{}), time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	followed := make(chan struct{})
	go func() { defer close(followed); o.follow(ctx) }()
	defer func() { cancel(); <-followed }()
	select {
	case e := <-o.events:
		e.apply(o, time.Now())
		if !o.cancelled[stoppedJob] {
			t.Errorf("no cancellation after event %+v", e)
		}
	case <-time.After(receiveLimit):
		t.Errorf("no event within %s", receiveLimit)
	}
}

// Guards against starts of a cancelled job: the takeover lists the cancellation but not yet the
// job, which a watch or a hint delivers later.
func TestCancellationListedBeforeItsJob(t *testing.T) {
	job := keeper.Record{Key: JobKey(stoppedJob), Revision: 5, Value: []byte(`{"id":"` + stoppedJob + `","queue":"q","steps":[{"count":1}]}`)}
	s := newFollowScheduler(keeper.Calls{
		FindRecords: func(_ context.Context, l keeper.ListOptions) (keeper.ListResult, error) {
			if l.Prefix == WorkPrefix {
				return keeper.ListResult{Records: []keeper.Record{{Key: CancelKey(stoppedJob), Revision: 7}}, Revision: 7}, nil
			}
			return keeper.ListResult{Revision: 7}, nil
		},
		GetRecord: func(context.Context, string) (keeper.Record, error) { return keeper.Record{}, keeper.ErrKeyNotExist{} },
	})
	o, err := s.takeOver(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	recordSeen{job, sourceWatch}.apply(o, time.Now())
	if got := o.state.Jobs[stoppedJob]; got == nil || got.State != tracker.JobCancelled {
		t.Errorf("job is %+v, want it cancelled", got)
	}
}

package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/messenger"
)

func cancellationOf(id string) recordSeen {
	return recordSeen{keeper.Record{Key: CancelKey(id), Revision: 7}, sourceWatch}
}

// Guards against cancellations of jobs that never arrive and are kept for good.
func TestCancellationOfUnknownJobExpires(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	o := newOwner(newFollowScheduler(keeper.Calls{}), 1, tracker.New(tracker.Config{}), now)
	cancellationOf("a").apply(o, now)
	o.removeEndedAt = time.Time{}
	o.removeEndedJobs(now.Add(unknownCancelRetention - time.Millisecond))
	if len(o.removals) != 0 || !o.cancelled["a"] {
		t.Fatal("the cancellation is removed too early")
	}
	o.removeEndedAt = time.Time{}
	o.removeEndedJobs(now.Add(unknownCancelRetention))
	if !slices.Equal(o.removals, []string{CancelKey("a")}) || o.cancelled["a"] || len(o.unknown.cancels) != 0 {
		t.Errorf("removed are %v", o.removals)
	}
}

// Guards against an owner that forgets the cancellation of a job whose record arrives late.
func TestCancellationIsKeptForLateJob(t *testing.T) {
	b := newStopFixture(t)
	now := b.now
	const late = "00000000000000ff"
	cancellationOf(late).apply(b.o, now)
	record := keeper.Record{Key: JobKey(late), Value: fmt.Appendf(nil, `{"id":%q,"queue":"q","steps":[{"count":1}]}`, late), Revision: 8}
	recordSeen{record, sourceWatch}.apply(b.o, now)
	j := b.o.state.Jobs[late]
	if j == nil || j.State != tracker.JobCancelled {
		t.Fatalf("the job is %+v", j)
	}
	b.o.removeEndedAt = time.Time{}
	b.o.removeEndedJobs(now.Add(unknownCancelRetention))
	if len(b.o.removals) != 0 || !b.o.cancelled[late] {
		t.Errorf("%v are removed while the job is kept", b.o.removals)
	}
}

// Guards against an owner whose memory grows with every id that callers cancel or submit without outcome.
func TestUnknownJobsAreBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	u := newUnknownJobs()
	for n := range maxUnknownCancels {
		if u.cancelsFull() {
			t.Fatalf("full with %d cancellations", n)
		}
		u.cancels[fmt.Sprint(n)] = now
	}
	if !u.cancelsFull() {
		t.Error("not full")
	}
	for n := range 2 * maxDoubts {
		u.addDoubt(fmt.Sprint(n), now)
	}
	if len(u.doubts) != maxDoubts || !u.inDoubt("0", now) || u.inDoubt("0", now.Add(LateWriteTime)) {
		t.Errorf("%d jobs are in doubt", len(u.doubts))
	}
	u.addDoubt("later", now.Add(LateWriteTime))
	if len(u.doubts) != 1 {
		t.Errorf("%d jobs are in doubt after their time", len(u.doubts))
	}
}

// Guards against a job in doubt that the owner denies, or keeps in doubt once its outcome is certain.
func TestOwnerAnswersJobInDoubt(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name  string
		event event
		want  messenger.WorkStateReply
	}{
		{"its record has not arrived", nil, messenger.WorkStateReply{InDoubt: true}},
		{"cancelled", cancellationOf("a"), messenger.WorkStateReply{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newOwner(newFollowScheduler(keeper.Calls{}), 1, tracker.New(tracker.Config{}), now)
			o.unknown.addDoubt("a", now)
			if tt.event != nil {
				tt.event.apply(o, now)
			}
			go func() { e := <-o.events; e.apply(o, now) }()
			got, err := o.jobState(t.Context(), messenger.WorkStateRequest{Job: "a"})
			if err != nil || got != tt.want {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

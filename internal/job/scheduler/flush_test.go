package scheduler

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/store/keeper"
)

// Guards against takeovers that do not complete on a slow link, since they list the payloads of
// all ended jobs: the write of the final state also replaces the record of the job by a
// tombstone. The record of an active job is not rewritten.
func TestFinalStateReplacesRecordByTombstone(t *testing.T) {
	now := time.Now()
	state := tracker.New(tracker.Config{Policy: &specifier.Policy{}})
	spec := &specifier.Job{ID: "00000000000004d2", Queue: "q", Payload: strings.Repeat("x", specifier.MaxPayloadBytes), Steps: []specifier.Step{{Count: 1}}}
	state.AddJob(spec, time.Time{}, now)
	o := newOwner(newFollowScheduler(keeper.Calls{}), 1, state, now)
	puts, err := o.changedRecords(state.Jobs[spec.ID], now)
	if err != nil || len(puts) != 1 || puts[0].Key != ProgressKey(spec.ID) {
		t.Fatalf("%d records of an active job: %v", len(puts), err)
	}
	state.Cancel(spec.ID, now)
	puts, err = o.changedRecords(state.Jobs[spec.ID], now)
	if err != nil || len(puts) != 2 || puts[1].Key != JobKey(spec.ID) || len(puts[1].Value) > 200 {
		t.Fatalf("%d records of an ended job: %v", len(puts), err)
	}
}

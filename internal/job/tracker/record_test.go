package tracker

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// Guards against a takeover that no owner can complete. A new owner lists all jobs. With the
// payloads and steps of all ended jobs the list grows without bound, and on a slow link it
// takes longer than the time limit of a call. So only the tombstone of an ended job is kept,
// and a new owner must see from it that none of its tasks may start again.
func TestTombstoneIsSmall(t *testing.T) {
	tr := newState(t, 2)
	j := addJob(t, tr, 1, specifier.Step{Count: 30, Needs: oneCore, Image: "image"})
	j.Spec.Payload = strings.Repeat("x", specifier.MaxPayloadBytes)
	tr.Cancel(j.Spec.ID, at(10))
	tombstone, err := j.EncodeTombstone()
	if err != nil {
		t.Fatal(err)
	}
	if len(tombstone) > 200 {
		t.Errorf("the tombstone has %d bytes, want at most 200", len(tombstone))
	}
	spec, err := DecodeJob(tombstone)
	if err != nil {
		t.Fatal(err)
	}
	next := newState(t, 2)
	next.AddJob(spec, time.Time{}, at(20))
	got := next.Jobs[j.Spec.ID]
	if got == nil || got.ReportedState() != JobCancelled || got.Startable() || len(next.WaitingSteps(at(20))) != 0 || next.Pending(j.Spec.Queue) != 0 {
		t.Fatalf("the next owner has %+v", got)
	}
	if ids := next.Forget(at(30)); len(ids) != 1 {
		t.Errorf("%d ended jobs are removed, want 1", len(ids))
	}
}

package accountant

import (
	"strings"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
)

// No owner gets through its takeover. A new owner lists all jobs; with payloads and
// steps of all that have ended the list grows without bound, and on a small link it
// takes longer than a call may. So only id and state remain of a job that has ended,
// and a new owner reads from them alone that nothing of it may start again.
func TestEndedJobsLeaveLittle(t *testing.T) {
	a := newState(t, 2)
	j := addJob(t, a, 1, specifier.Step{Count: 30, Needs: oneCore, Image: "image"})
	j.Spec.Payload = strings.Repeat("x", specifier.MaxPayloadBytes)
	a.Cancel(j.Spec.ID, at(10))
	remains, err := j.EncodeRemains()
	if err != nil {
		t.Fatal(err)
	}
	if len(remains) > 200 {
		t.Errorf("%d bytes remain of an ended job", len(remains))
	}
	spec, err := DecodeJob(remains)
	if err != nil {
		t.Fatal(err)
	}
	next := newState(t, 2)
	next.AddJob(spec, time.Time{}, at(20))
	got := next.Jobs[j.Spec.ID]
	if got == nil || got.Told() != JobCancelled || got.Startable() || len(next.WaitingSteps(at(20))) != 0 || next.Pending(j.Spec.Queue) != 0 {
		t.Fatalf("the next owner has %+v", got)
	}
	if ids := next.Forget(at(30)); len(ids) != 1 {
		t.Errorf("%d jobs are forgotten in time, want it", len(ids))
	}
}

package scheduler

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/store/keeper"
)

// Guards against tasks that run twice: a member's leases that no grant allowed outlast those that were granted,
// and jobs of earlier owners must not start before these have ended.
func TestInheritedJobAwaitsLeasesThatNoGrantAllowed(t *testing.T) {
	for _, inherited := range []bool{true, false} {
		f := newAcceptedSinceFixture(t)
		f.o.silences.earlier["vm-1"] = f.o.started.Add(4 * time.Second) // the former owner's record: -4000 ms
		if inherited {
			f.acceptInherited()
		} else {
			f.accept(sourceWatch)
		}
		for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
			f.advance(at)
			if n := f.started(); n > 0 && !f.o.hasLapsed("vm-1", f.now) {
				t.Errorf("inherited %t: %d tasks start %s after the takeover, while leases on vm-1 may last until %s", inherited, n, at, f.o.lastGrant("vm-1").Add(f.o.leaseExpiry()).Sub(f.o.started))
				break
			}
		}
	}
}

// acceptInherited adds a job as a takeover does.
func (f *acceptedSinceFixture) acceptInherited() {
	value := `{"id":"` + lateJob + `","queue":"q","steps":[{"count":4,"needs":{"cpu-millis":100,"memory-mb":10}}]}`
	r := keeper.Record{Key: JobKey(lateJob), Revision: f.revision, Value: []byte(value)}
	f.o.addJob(r, f.o.reconcileTime(r), f.now)
}

// Guards against tasks that run twice: a takeover must know of leases that no grant allowed before it says until
// when inherited jobs wait.
func TestTakeoverCountsLeasesThatNoGrantAllowed(t *testing.T) {
	const outlasts = 4 * time.Second
	store := &pagedStore{jobs: 1, fails: func(int) bool { return false }}
	s := newFollowScheduler(keeper.Calls{
		FindRecords: store.find,
		GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
			switch key {
			case "cells/jobs/vms":
				return keeper.Record{Key: key, Revision: 3, Value: []byte(`["vm-1"]`)}, nil
			case "cells/jobs/silent":
				return keeper.Record{Key: key, Revision: 4, Value: []byte(`{"epoch":1,"silent-ms":{"vm-1":-4000}}`)}, nil
			}
			return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
		},
	})
	o, err := s.takeOver(t.Context(), 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range o.state.Jobs {
		if early := o.started.Add(outlasts + o.leaseExpiry()).Sub(j.ReconcileAt); early > 0 {
			t.Errorf("the job may start %s before the leases have certainly ended", early)
		}
	}
}

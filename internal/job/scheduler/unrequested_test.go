package scheduler

import (
	"context"
	"testing"
	"time"

	"bamboospread/internal/job/tracker"
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

// Guards against tasks that run twice: an owner that names other silent members replaces the record of the former
// one, which said that the leases of a member that has not reported outlast a grant.
func TestOwnerPassesOnLeasesThatNoGrantAllowed(t *testing.T) {
	tests := []struct {
		name     string
		outlasts time.Duration // of the leases on vm-1, after the takeover, beyond a grant; 0: no record names it
		reported bool          // vm-1 has reported
		want     bool          // it is named
	}{
		{"leases outlast a grant", 4 * time.Second, false, true},
		{"not beyond the former owner's lease", time.Second, false, false},
		{"no record", 0, false, false},
		{"the member has reported", 4 * time.Second, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newAcceptedSinceFixture(t)
			if tt.outlasts > 0 {
				f.o.silences.earlier["vm-1"] = f.o.started.Add(tt.outlasts)
			}
			if tt.reported {
				f.report("vm-1", nil)
			}
			f.now = f.now.Add(500 * time.Millisecond)
			ms, named := f.o.silentMembers(f.now)["vm-1"]
			if want := (500*time.Millisecond - tt.outlasts).Milliseconds(); named != tt.want || named && ms != want {
				t.Errorf("named %t with %d ms, want %t with %d ms", named, ms, tt.want, want)
			}
		})
	}
}

// Guards against jobs that wait without need: a record of leases that outlast a grant is used up by the next owner,
// also if the member has reported to it, or its first write fails.
func TestRecordOfOutlastingLeasesIsReplaced(t *testing.T) {
	for _, failures := range []int{0, 1} {
		stored := []byte(`{"epoch":4,"silent-ms":{"vm-1":-4000}}`)
		s := newFollowScheduler(keeper.Calls{
			FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
			GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
				if key != "cells/jobs/silent" {
					return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
				}
				return keeper.Record{Key: key, Revision: 1, Value: stored}, nil
			},
		})
		o, err := s.takeOver(t.Context(), 5)
		if err != nil {
			t.Fatal(err)
		}
		tries := 0
		o.writer.transact = func(_ context.Context, tx keeper.Transaction) (int64, error) {
			if tries++; tries <= failures {
				return 0, keeper.ErrUnavailable{Cause: errNoAnswer}
			}
			stored = tx.Puts[0].Value
			return 2, nil
		}
		for range failures + 1 {
			o.silences.retryAfter = time.Time{}
			o.storeSilences(t.Context())
			select {
			case e := <-o.events:
				o.apply(e)
			case <-time.After(time.Second):
				t.Fatalf("%d failures: nothing is written", failures)
			}
		}
		if got := string(stored); got != `{"epoch":5,"silent-ms":{}}` {
			t.Errorf("%d failures: the record is %s", failures, got)
		}
	}
}

// Guards against tasks that run twice: an owner is killed while leases that no grant allowed last on a VM, and the
// next one does not hear from the VM either.
func TestLeasesThatNoGrantAllowedAreKnownAfterOwnerIsKilled(t *testing.T) {
	for _, vacancy := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, DefaultLease} {
		const left = 10 * time.Second
		f := newAcceptedSinceFixture(t)
		f.report("vm-1", nil)
		vm := f.o.state.VMs["vm-1"]
		f.o.state.Apply(vm, tracker.Report{Incarnation: "1", Process: 1, Ready: true, LeaseLeft: left}, f.now)
		leasesEnd := f.now.Add(left + DefaultStopTime)
		f.now = f.now.Add(silenceInterval)
		stored := f.o.silentMembers(f.now)
		f.now = f.now.Add(vacancy)
		next := newOwner(f.o.s, f.o.epoch+1, tracker.New(tracker.Config{Policy: f.o.state.Policy()}), f.now)
		for n := range f.o.members {
			next.members[n], next.listed[n], next.unreported[n] = true, true, true
		}
		for n, ms := range stored {
			next.silences.earlier[n] = next.started.Add(-time.Duration(ms) * time.Millisecond)
		}
		if early := leasesEnd.Sub(next.lastGrant("vm-1").Add(next.leaseExpiry())); early > 0 {
			t.Errorf("taken over after %s: leases on vm-1 count as ended %s early", vacancy, early)
		}
	}
}

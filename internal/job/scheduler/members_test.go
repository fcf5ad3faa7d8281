package scheduler

import (
	"context"
	"errors"
	"testing"
	"time"

	"bamboospread/internal/job/accountant"
	"bamboospread/internal/job/specifier"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// ownerOfNothing is an owner of nothing, with a store that answers as told.
func ownerOfNothing(transact func(context.Context, keeper.Transaction) (int64, error)) *owner {
	policy := &specifier.Policy{Version: 1}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	return newOwner(s, 1, accountant.New(accountant.Config{Policy: policy}), time.Now())
}

// hearAs applies a report and tells whether it was taken.
func hearAs(t *testing.T, o *owner, c *connector.Conn, r messenger.WorkReport) bool {
	t.Helper()
	read, facts, err := readReport(r)
	if err != nil {
		t.Fatal(err)
	}
	e := reportMade{conn: c, report: r, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
	e.apply(o, time.Now())
	return (<-e.answer).Epoch != 0
}

// Guards against a change of owner at which work waits for a VM that had left in order: the
// write that took it out of the members failed.
func TestAVMThatLeftIsTakenOutOfTheMembersThoughTheWriteFailed(t *testing.T) {
	fails, stored := false, ""
	o := ownerOfNothing(func(_ context.Context, tx keeper.Transaction) (int64, error) {
		if fails {
			return 0, errors.New("store away")
		}
		stored = string(tx.Puts[0].Value)
		return 1, nil
	})
	c := new(connector.Conn)
	report := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Life: "1", Ready: true, Facts: &messenger.WorkFacts{}}
	store := func() {
		o.storeMembers(t.Context())
		if o.storing {
			(<-o.events).apply(o, time.Now())
		}
	}
	hearAs(t, o, c, report)
	store()
	if stored != `["vm-1"]` {
		t.Fatalf("members %s", stored)
	}
	fails, report.Ready = true, false
	hearAs(t, o, c, report)
	store()
	fails = false
	for range 3 {
		hearAs(t, o, c, report)
		store()
	}
	if stored == `["vm-1"]` {
		t.Errorf("the store still has members %s", stored)
	}
}

// Guards against two runs of one task: a VM that was not heard for long comes back while it is
// being taken out of the members, is granted leases, and the next owner does not wait for it.
func TestAMemberThatIsBeingTakenOutIsGrantedNothing(t *testing.T) {
	stored, hold := "", make(chan struct{})
	o := ownerOfNothing(func(_ context.Context, tx keeper.Transaction) (int64, error) {
		<-hold
		stored = string(tx.Puts[0].Value)
		return 1, nil
	})
	o.members["vm-1"], o.listed["vm-1"] = true, true
	o.started = time.Now().Add(-time.Minute)
	o.watchVMs(time.Now())
	o.storeMembers(t.Context())
	r := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Life: "1", Ready: true, Facts: &messenger.WorkFacts{}}
	read, facts, err := readReport(r)
	if err != nil {
		t.Fatal(err)
	}
	e := reportMade{conn: new(connector.Conn), report: r, read: read, facts: facts, answer: make(chan messenger.WorkReply, 1)}
	e.apply(o, time.Now())
	close(hold)
	(<-o.events).apply(o, time.Now())
	if grant := (<-e.answer).GrantMillis; grant != 0 {
		t.Errorf("granted %d ms while the store has members %s", grant, stored)
	}
}

// Guards against a VM whose owner plans with what its worker was in an earlier life: another
// boot has another id and may have another capacity.
func TestFactsOfAnotherLifeAreTakenWithinASession(t *testing.T) {
	o := ownerOfNothing(nil)
	c := new(connector.Conn)
	report := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Life: "1", Ready: true, Facts: &messenger.WorkFacts{WorkerID: "id-1", Capacity: specifier.Resources{CPUMillis: 1000}}}
	hearAs(t, o, c, report)
	report.Life, report.Facts = "2", &messenger.WorkFacts{WorkerID: "id-2", Capacity: specifier.Resources{CPUMillis: 2000}}
	hearAs(t, o, c, report)
	if vm := o.state.VMs["vm-1"]; vm.WorkerID != "id-2" || vm.Capacity.CPUMillis != 2000 {
		t.Errorf("life %s has id %s and %d thousandths of a core", vm.Life, vm.WorkerID, vm.Capacity.CPUMillis)
	}
}

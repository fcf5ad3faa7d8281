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
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// newTestOwner returns an owner without jobs whose store writes go to transact.
func newTestOwner(transact func(context.Context, keeper.Transaction) (int64, error)) *owner {
	policy := &specifier.Policy{Version: 1}
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	return newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), time.Now())
}

// applyReport applies a report and reports whether it was accepted.
func applyReport(t *testing.T, o *owner, c *connector.Conn, r messenger.WorkReport) bool {
	t.Helper()
	parsed, info, err := parseReport(r)
	if err != nil {
		t.Fatal(err)
	}
	e := reportReceived{conn: c, report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
	e.apply(o, time.Now())
	return (<-e.answer).Epoch != 0
}

// Guards against a change of owner that waits for a VM that had left cleanly, because the write
// that removed it from the members failed.
func TestMemberRemovalRetriedAfterFailedWrite(t *testing.T) {
	fails, stored := false, ""
	o := newTestOwner(func(_ context.Context, tx keeper.Transaction) (int64, error) {
		if fails {
			return 0, errors.New("store unavailable")
		}
		stored = string(tx.Puts[0].Value)
		return 1, nil
	})
	c := new(connector.Conn)
	report := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}}
	store := func() {
		o.storeMembers(t.Context())
		if o.storingMembers {
			(<-o.events).apply(o, time.Now())
		}
	}
	applyReport(t, o, c, report)
	store()
	if stored != `["vm-1"]` {
		t.Fatalf("members %s", stored)
	}
	fails, report.Ready = true, false
	applyReport(t, o, c, report)
	store()
	fails = false
	for range 3 {
		applyReport(t, o, c, report)
		store()
	}
	if stored == `["vm-1"]` {
		t.Errorf("the store still has members %s", stored)
	}
}

// Guards against two concurrent runs of a task: a VM without contact for long reports again
// during its removal from the members and is granted leases, and the next owner does not wait
// for it.
func TestNoGrantDuringMemberRemoval(t *testing.T) {
	stored, hold := "", make(chan struct{})
	o := newTestOwner(func(_ context.Context, tx keeper.Transaction) (int64, error) {
		<-hold
		stored = string(tx.Puts[0].Value)
		return 1, nil
	})
	o.members["vm-1"], o.listed["vm-1"] = true, true
	o.started = time.Now().Add(-time.Minute)
	o.checkVMContact(time.Now())
	o.storeMembers(t.Context())
	r := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}}
	parsed, info, err := parseReport(r)
	if err != nil {
		t.Fatal(err)
	}
	e := reportReceived{conn: new(connector.Conn), report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
	e.apply(o, time.Now())
	close(hold)
	(<-o.events).apply(o, time.Now())
	if grant := (<-e.answer).GrantMillis; grant != 0 {
		t.Errorf("granted %d ms while the stored members are %s", grant, stored)
	}
}

// Guards against an owner that plans with the description of a worker's earlier incarnation: after a
// reboot, the worker has another id and possibly another capacity.
func TestVMInfoOfNewIncarnationWithinSession(t *testing.T) {
	o := newTestOwner(nil)
	c := new(connector.Conn)
	report := messenger.WorkReport{VM: "vm-1", Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{WorkerID: "id-1", Capacity: specifier.Resources{CPUMillis: 1000}}}
	applyReport(t, o, c, report)
	report.Incarnation, report.VMInfo = "2", &messenger.WorkVMInfo{WorkerID: "id-2", Capacity: specifier.Resources{CPUMillis: 2000}}
	applyReport(t, o, c, report)
	if vm := o.state.VMs["vm-1"]; vm.WorkerID != "id-2" || vm.Capacity.CPUMillis != 2000 {
		t.Errorf("incarnation %s has id %s and %d thousandths of a core", vm.Incarnation, vm.WorkerID, vm.Capacity.CPUMillis)
	}
}

package scheduler

import (
	"fmt"
	"testing"
	"time"

	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// Guards against ends that are known late during an upgrade of a large fleet: agents of earlier builds
// apply the interval that they are asked for to all reports.
func TestOlderAgentsAreAskedForShortIntervals(t *testing.T) {
	for _, tt := range []struct {
		vms        int
		gap, quiet int64 // ms
	}{{1, 20, 20}, {100, 100, 100}, {2000, 250, 600}} {
		o := newTestOwner(nil)
		for n := range tt.vms - 1 {
			o.sessions[fmt.Sprint("other-", n)] = &session{}
		}
		r := messenger.WorkReport{VM: "vm", Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}}
		parsed, info, err := parseReport(r)
		if err != nil {
			t.Fatal(err)
		}
		var reply messenger.WorkReply
		for range 2 { // the first opens the session
			e := reportReceived{conn: new(connector.Conn), report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
			e.apply(o, time.Now())
			reply = <-e.answer
		}
		if reply.GapMillis != tt.gap || reply.QuietMillis != tt.quiet {
			t.Errorf("%d VMs: asked for %d and %d ms, want %d and %d", tt.vms, reply.GapMillis, reply.QuietMillis, tt.gap, tt.quiet)
		}
	}
}

// Guards against an owner that gets slower with each VM that is replaced by another: VMs that are gone
// are forgotten, unless something may still run there.
func TestGoneVMsAreForgotten(t *testing.T) {
	o := newTestOwner(nil)
	c := new(connector.Conn)
	for n := range 3 {
		applyReport(t, o, c, messenger.WorkReport{VM: fmt.Sprint("vm-", n), Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}})
	}
	now := time.Now()
	o.state.VMs["vm-0"].GrantedAt = now.Add(-goneVMRetention - time.Minute)
	o.state.VMs["vm-1"].GrantedAt = now.Add(-time.Minute)
	o.checkVMContact(now)
	if o.state.VMs["vm-0"] != nil || o.sessions["vm-0"] != nil || len(o.state.SortedVMs()) != 2 {
		t.Error("a VM that is gone is kept")
	}
	if o.state.VMs["vm-1"] == nil || o.state.VMs["vm-2"] == nil {
		t.Error("a VM that may come back is forgotten")
	}
}

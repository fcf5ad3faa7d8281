package controller

import (
	"testing"
	"time"

	"bamboospread/internal/control/bookkeeper"
	"bamboospread/internal/control/journaler"
	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/wire/messenger"
)

// Guards against tasks of classes that run twice at once: the store drops the former owner's lease early, and that
// owner grants leases until its own has expired by its clock. The next one must not give up the VMs' tasks before.
func TestLeasesGrantedSinceTakeoverAreAwaited(t *testing.T) {
	const ownerLease, millisecond = 6 * time.Second, time.Millisecond
	tests := []struct {
		name       string
		priorLease time.Duration
		keptUntil  time.Duration // after the takeover
		endedBy    time.Duration
	}{
		{"no earlier owner", 0, 0, 0},
		{"leases as long as the owner's", 6 * time.Second, 12 * time.Second, 13 * time.Second},
		{"leases of an outage", 20 * time.Second, 26 * time.Second, 28 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Now()
			fleet := describer.New(describer.Config{Zones: []describer.Zone{{Name: "z", State: describer.ZoneIn}}})
			c := New(Config{Cell: "c1", EntryID: "e", OwnerLease: ownerLease, Fleet: func() *describer.Fleet { return fleet }, Now: func() time.Time { return now }})
			state := bookkeeper.New()
			for _, r := range []bookkeeper.Record{
				{VMSeen: &bookkeeper.VMSeen{Capacity: messenger.Capacity{VM: "vm", Zone: "z", Total: describer.Resources{Millicores: 1000}}}},
				{Submitted: &bookkeeper.Submitted{Spec: messenger.TaskSpec{ID: "t"}}},
				{Started: &bookkeeper.Started{Task: "t", VM: "vm", Attempt: 1}},
				{Confirmed: &bookkeeper.Confirmed{Task: "t", Attempt: 1}},
			} {
				r.At = now
				if err := state.Apply(r); err != nil {
					t.Fatal(err)
				}
			}
			o := c.newOwner(journaler.New(journaler.Config{}), state, now, tt.priorLease)
			takeoverAt := now
			if tt.keptUntil > 0 {
				now = takeoverAt.Add(tt.keptUntil + millisecond)
				o.checkLeases(now)
				if len(o.state.On("vm")) == 0 || o.reconciled {
					t.Errorf("the VM's task is given up %s after the takeover", now.Sub(takeoverAt))
				}
			}
			now = takeoverAt.Add(tt.endedBy)
			o.checkLeases(now)
			if len(o.state.On("vm")) > 0 || !o.reconciled {
				t.Errorf("the VM's task is not given up %s after the takeover", now.Sub(takeoverAt))
			}
		})
	}
}

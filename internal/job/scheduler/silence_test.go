package scheduler

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bamboospread/internal/kernel/timekeeper"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// stopOwner ends the owner by a planned stop, and makes another process the owner after a time without any.
func (r *replay) stopOwner(ownerless time.Duration) {
	if err := r.owner.writeSilences(r.t.Context(), r.owner.allSilences()); err != nil {
		r.t.Fatal(err)
	}
	r.replaceOwner(ownerless)
}

// Guards against inherited jobs that no owner starts while owners follow one another beside a lost VM: each
// began anew to wait for its leases to end.
func TestInheritedJobsStartWhileOwnersFollowOneAnother(t *testing.T) {
	const vacancy = 500 * time.Millisecond // between two owners
	tests := []struct {
		name    string
		replace func(r *replay, ownerless time.Duration)
		lasting time.Duration // of an owner
		owners  int
		stale   time.Duration // age of what the next owner reads
	}{
		{"killed after 2 s", (*replay).replaceOwner, 2 * time.Second, 6, silenceInterval},
		{"killed after 4 s", (*replay).replaceOwner, 4 * time.Second, 4, silenceInterval},
		{"stopped after 2 s", (*replay).stopOwner, 2 * time.Second, 6, 0},
		{"stopped after 0.5 s", (*replay).stopOwner, 500 * time.Millisecond, 16, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(t, 1)
			loseVM(r)
			r.agents[0].runs, r.backlog = nil, false // the machine is gone
			for range tt.owners {
				r.run(tt.lasting)
				tt.replace(r, vacancy)
			}
			// The time without an owner, and what no owner has stored, is not counted.
			changes := time.Duration(LeaseExpiry(DefaultGrant, DefaultStopTime)/tt.lasting) + 1
			r.checkGaps(LeaseExpiry(DefaultGrant, DefaultStopTime) + changes*(vacancy+tt.stale) + time.Second)
		})
	}
}

// Guards against a takeover that fails, or takes leases for ended that may live, at a record of silent members
// that is not the former owner's or can't be true.
func TestRecordOfSilentMembers(t *testing.T) {
	lease := timekeeper.Longest(DefaultLease) // on the clock of the next owner
	lapses := LeaseExpiry(DefaultGrant, DefaultStopTime)
	tests := []struct {
		name, value string
		want        time.Duration // from the takeover until the member's leases have certainly ended
	}{
		{"the former owner's", `{"epoch":4,"silent-ms":{"vm-1":2000}}`, lapses - 2*time.Second},
		{"of its last moment", `{"epoch":4,"silent-ms":{"vm-1":0}}`, lapses},
		{"leases that outlast a grant", `{"epoch":4,"silent-ms":{"vm-1":-4000}}`, lapses + 4*time.Second},
		{"of another member", `{"epoch":4,"silent-ms":{"vm-2":2000}}`, lapses + lease},
		{"of an owner before", `{"epoch":3,"silent-ms":{"vm-1":2000}}`, lapses + lease},
		{"leases that outlast a grant, of an owner before", `{"epoch":3,"silent-ms":{"vm-1":-4000}}`, lapses + 4*time.Second},
		{"leases that outlast a grant of its last moment only, of an owner before", `{"epoch":2,"silent-ms":{"vm-1":-1000}}`, lapses + lease},
		{"of a later owner", `{"epoch":5,"silent-ms":{"vm-1":2000}}`, lapses + lease},
		{"long ago", `{"epoch":4,"silent-ms":{"vm-1":9223372036854775807}}`, 0},
		{"in the future", `{"epoch":4,"silent-ms":{"vm-1":-9223372036854775808}}`, lapses + lease},
		{"null for a member", `{"epoch":4,"silent-ms":{"vm-1":null,"vm-2":7}}`, lapses + lease},
		{"without its epoch", `{"silent-ms":{"vm-1":2000}}`, lapses + lease},
		{"null", `null`, lapses + lease},
		{"of another type", `["vm-1"]`, lapses + lease},
		{"too large a number", `{"epoch":4,"silent-ms":{"vm-1":1e400}}`, lapses + lease},
		{"not JSON", "\x00", lapses + lease},
		{"none", "", lapses + lease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			records := map[string]string{"cells/jobs/vms": `["vm-1"]`, "cells/jobs/silent": tt.value}
			s := newFollowScheduler(keeper.Calls{
				FindRecords: func(context.Context, keeper.ListOptions) (keeper.ListResult, error) { return keeper.ListResult{}, nil },
				GetRecord: func(_ context.Context, key string) (keeper.Record, error) {
					if records[key] == "" {
						return keeper.Record{}, keeper.ErrKeyNotExist{Key: key}
					}
					return keeper.Record{Key: key, Revision: 1, Value: []byte(records[key])}, nil
				},
			})
			o, err := s.takeOver(t.Context(), 5)
			if err != nil {
				t.Fatal(err)
			}
			if got := max(o.lastGrant("vm-1").Add(lapses).Sub(o.started), 0); got != tt.want {
				t.Errorf("its leases have ended %s after the takeover, want %s", got, tt.want)
			}
		})
	}
}

// Guards against tasks that run twice: a former owner whose clock is slow holds its lease for longer by the clock
// of the next one, and grants leases until then. Neither its VMs nor its jobs may count as free of them before.
func TestFormerOwnerWithSlowClockIsAwaited(t *testing.T) {
	f := newAcceptedSinceFixture(t)
	// Granted at the end of the former owner's lease, counted and ended by the slowest clocks.
	leasesEnd := f.o.started.Add(timekeeper.Longest(DefaultLease) + timekeeper.Longest(DefaultGrant) + DefaultStopTime)
	if f.o.hasLapsed("vm-1", leasesEnd) {
		t.Error("the leases of a member count as ended while they may last")
	}
	if at := f.o.reconcileTime(keeper.Record{Revision: f.revision}); at.Before(leasesEnd) {
		t.Errorf("an inherited job may start %s before the leases have ended", leasesEnd.Sub(at))
	}
}

// errStoreDown is the answer of a store that may have carried out a write all the same.
var errStoreDown = errors.New("store does not answer")

// disturbed is a cell whose owners, agents and store fail at drawn times.
type disturbed struct {
	*replay
	former      *owner // still grants leases until formerUntil, to agents that have not left it
	formerUntil time.Time
	followed    map[*replayAgent]int64 // highest epoch of an owner that has answered, by agent
	storeDown   bool                   // answers are lost
	writes      bool                   // but writes take effect
}

// transact is the store's, with the fence: it rejects writes of former owners.
func (d *disturbed) transact(o *owner) func(context.Context, keeper.Transaction) (int64, error) {
	inner := d.store.calls().Transact
	return func(ctx context.Context, tx keeper.Transaction) (int64, error) {
		if o != d.owner {
			return 0, errStoreDown
		}
		if !d.storeDown {
			return inner(ctx, tx)
		}
		if d.writes {
			if _, err := inner(ctx, tx); err != nil {
				return 0, err
			}
		}
		return 0, errStoreDown
	}
}

func (d *disturbed) fence() { d.owner.writer.transact = d.transact(d.owner) }

// kill ends the owner. If it does not notice, it goes on granting leases until its own has expired.
func (d *disturbed) kill(ownerless time.Duration, unnoticed bool) {
	former := d.owner
	down := d.storeDown
	d.storeDown = false
	d.replaceOwner(ownerless)
	d.storeDown = down
	d.fence()
	if unnoticed {
		d.former, d.formerUntil = former, d.now.Add(DefaultLease)
	}
}

// back lets a VM report again, in a new session.
func (d *disturbed) back(a *replayAgent) {
	a.lost, a.conn, a.report.OrdersSeen = false, new(connector.Conn), 0
	a.report.Session++
}

// serveFormer lets the lost VMs report to the former owner instead, if no later one has answered them.
func (d *disturbed) serveFormer() {
	if d.former == nil || !d.now.Before(d.formerUntil) {
		d.former = nil
		return
	}
	present := d.owner
	d.owner = d.former
	for _, a := range d.agents {
		if a.lost && d.followed[a] <= d.former.epoch && d.owner.sessions[a.report.VM] != nil {
			report, conn := a.report, a.conn
			a.conn = d.owner.sessions[a.report.VM].conn
			a.report.Session = d.owner.sessions[a.report.VM].number
			d.sendReport(a)
			a.report.Session, a.conn = report.Session, conn
		}
	}
	d.owner = present
}

// Guards against tasks that run twice because an owner relies on a silence that has ended, and against
// inherited jobs that wait without end, whatever happens to owners, VMs and the store.
func TestOwnersInSeriesStartNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := &disturbed{replay: newReplayOf(t, 3, 50*time.Millisecond, 1), followed: make(map[*replayAgent]int64)}
		d.fence()
		d.startFault = func(task string) startFault {
			for _, a := range d.agents {
				for _, run := range a.runs {
					if run.Task == task {
						rt.Fatalf("%s starts while it runs on %s, lost %t, granted %s ago", task, a.report.VM, a.lost, d.now.Sub(a.grantedAt))
					}
				}
			}
			return noFault
		}
		play := func(length time.Duration) {
			for end := d.now.Add(length); d.now.Before(end); {
				d.step()
				for _, a := range d.agents {
					if !a.lost {
						d.followed[a] = d.epoch
					}
				}
				d.serveFormer()
			}
		}
		for range rapid.IntRange(2, 12).Draw(rt, "events") {
			length := time.Duration(rapid.IntRange(0, 40).Draw(rt, "tenths of a second")) * 100 * time.Millisecond
			a := d.agents[rapid.IntRange(0, 1).Draw(rt, "VM")] // another one is always there
			switch kind := rapid.SampledFrom([]string{"kill", "kill unnoticed", "stop", "lose", "return", "store down", "store up"}).Draw(rt, "event"); kind {
			case "kill", "kill unnoticed":
				d.kill(length/8, kind == "kill unnoticed")
			case "stop":
				if !d.storeDown {
					d.stopOwner(length / 8)
					d.fence()
				}
			case "lose":
				a.lost = true
			case "return":
				if a.lost {
					d.back(a)
				}
			case "store down":
				d.storeDown, d.writes = true, rapid.Bool().Draw(rt, "writes take effect")
			case "store up":
				d.storeDown = false
			}
			play(length)
		}
		d.storeDown = false
		play(DefaultLease + LeaseExpiry(DefaultGrant, DefaultStopTime) + 2*time.Second)
		for task := range maps.Keys(d.lastRun) {
			if d.lastRun[task] != d.now && d.now.Sub(d.lastRun[task]) > time.Second {
				rt.Fatalf("%s has had no run for %s", task, d.now.Sub(d.lastRun[task]))
			}
		}
	})
}

// Guards against an owner short of processor that takes members for silent whose reports it has not read yet:
// nothing starts on them until a write has taken that back.
func TestLateOwnerNamesNoSilentMembers(t *testing.T) {
	tests := []struct {
		name   string
		ages   []time.Duration // since the last report of each member
		queued bool            // events that the owner has not applied
		want   int
	}{
		{"all report", []time.Duration{20 * time.Millisecond, 250 * time.Millisecond, 100 * time.Millisecond}, false, 0},
		{"one is silent", []time.Duration{20 * time.Millisecond, 650 * time.Millisecond, 100 * time.Millisecond}, false, 1},
		{"the owner is late with others", []time.Duration{20 * time.Millisecond, 650 * time.Millisecond, 400 * time.Millisecond}, false, 0},
		{"the owner has not applied all events", []time.Duration{20 * time.Millisecond, 650 * time.Millisecond, 100 * time.Millisecond}, true, 0},
		{"silent for long, and the owner is late", []time.Duration{400 * time.Millisecond, 1600 * time.Millisecond, 400 * time.Millisecond}, true, 1},
		{"all are silent", []time.Duration{650 * time.Millisecond, 650 * time.Millisecond, 650 * time.Millisecond}, false, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := newTestOwner(nil)
			now := time.Now()
			o.started = now.Add(-time.Minute)
			o.silences.countedAt = o.started
			for i, age := range tt.ages {
				name := string(rune('a' + i))
				applyReport(t, o, new(connector.Conn), messenger.WorkReport{VM: name, Process: 1, Session: 1, Incarnation: "1", Ready: true, VMInfo: &messenger.WorkVMInfo{}})
				o.listed[name] = true
				o.state.VMs[name].GrantedAt = now.Add(-age)
			}
			if tt.queued {
				o.events <- &silencesResult{}
			}
			if got := o.silentMembers(now); len(got) != tt.want {
				t.Errorf("named %v, want %d", got, tt.want)
			}
		})
	}
}

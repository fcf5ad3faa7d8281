package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"bamboospread/internal/job/specifier"
	"bamboospread/internal/job/tracker"
	"bamboospread/internal/kernel/reporter"
	"bamboospread/internal/store/keeper"
	"bamboospread/internal/wire/connector"
	"bamboospread/internal/wire/messenger"
)

// fleetOwner is an owner with a session of each VM. Each VM has three long-running, four best-effort
// and four urgent tasks; ten ended jobs a VM are kept, as after ten minutes.
func fleetOwner(b *testing.B, vms int) (*owner, []messenger.WorkReport) {
	b.Helper()
	policy := &specifier.Policy{Version: 1, Queues: []specifier.Queue{{Name: "q", MaxFailures: 3, Slack: 2}}}
	transact := func(context.Context, keeper.Transaction) (int64, error) { return 1, nil }
	s := New(Config{Cell: "jobs", Reporter: reporter.Discard(), Now: time.Now, Policy: func() *specifier.Policy { return policy }, Store: keeper.Calls{Transact: transact}})
	now := time.Now()
	o := newOwner(s, 1, tracker.New(tracker.Config{Policy: policy}), now)
	id := 0
	place := func(vm *tracker.VM, step specifier.Step) {
		id++
		spec := &specifier.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: []specifier.Step{step}}
		o.state.AddJob(spec, time.Time{}, now)
		for _, t := range o.state.Jobs[spec.ID].Occurrences[0].Steps[0].Tasks {
			o.state.Place(t, vm, 1, now)
		}
	}
	for n := range 10 * vms {
		id++
		o.state.AddJob(&specifier.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: []specifier.Step{{Count: 1}}}, time.Time{}, now)
		o.state.Cancel(fmt.Sprintf("%016x", n+1), now)
	}
	o.state.TakeEnded()
	f := o.state.BeginFlush()
	states := make(map[string]tracker.JobState)
	for _, j := range f.Jobs {
		states[j.Spec.ID] = j.State
	}
	o.state.EndFlush(f, states)
	var reports []messenger.WorkReport
	conn := connToNobody(b)
	for n := range vms {
		r := messenger.WorkReport{
			VM: fmt.Sprintf("vm-%04d", n), Session: 1, Process: 1, Incarnation: "1", Ready: true, Granted: true,
			VMInfo: &messenger.WorkVMInfo{Zone: "z", Rack: fmt.Sprint("r", n/8), Capacity: specifier.Resources{CPUMillis: 64_000, MemoryMB: 256_000}},
		}
		o.members[r.VM] = true
		applyTo(b, o, conn, r)
		vm := o.state.VMs[r.VM]
		for range 3 {
			place(vm, specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 6000}, LongRunning: true, TailMillis: 18, Image: fmt.Sprint("l", n%16)})
		}
		for k := range 4 {
			place(vm, specifier.Step{Count: 1, Needs: specifier.Resources{CPUMillis: 3500}, EstimateMillis: 60_000, BestEffort: true, Image: fmt.Sprint("f", (n+k)%30)})
		}
		place(vm, specifier.Step{Count: 4, Needs: specifier.Resources{CPUMillis: 1300}, EstimateMillis: 60_000})
		r.VMInfo, r.OrdersSeen = nil, vm.OrderSeq
		for key := range vm.Runs {
			r.Runs = append(r.Runs, messenger.WorkRun{Task: key.Task.String(), Run: key.Number, Confirmed: true, Progress: 40, Measure: 8})
		}
		applyTo(b, o, conn, r)
		reports = append(reports, r)
	}
	return o, reports
}

// connToNobody returns a connection to a process that answers each call.
func connToNobody(b *testing.B) *connector.Conn {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		served <- connector.Serve(ctx, l, func(context.Context, *connector.Conn, string, json.RawMessage) (any, error) {
			return messenger.Empty{}, nil
		}, nil)
	}()
	b.Cleanup(func() { cancel(); <-served })
	c, err := connector.Dial(ctx, l.Addr().String(), nil)
	if err != nil {
		b.Fatal(err)
	}
	return c
}

func applyTo(b *testing.B, o *owner, c *connector.Conn, r messenger.WorkReport) {
	b.Helper()
	parsed, info, err := parseReport(r)
	if err != nil {
		b.Fatal(err)
	}
	e := reportReceived{conn: c, report: r, parsed: parsed, info: info, answer: make(chan messenger.WorkReply, 1)}
	e.apply(o, time.Now())
	<-e.answer
}

// BenchmarkFleet measures what the owner does again and again: a report without news with everything
// that follows each event, and the periodic checks, of which there are 17 a second between reports of
// all VMs each 0.6 s.
func BenchmarkFleet(b *testing.B) {
	for _, vms := range []int{300, 1000, 2000} {
		o, reports := fleetOwner(b, vms)
		conn, n := o.sessions[reports[0].VM].conn, 0
		report := func() {
			applyTo(b, o, conn, reports[n%vms])
			n++
		}
		b.Run(fmt.Sprintf("report/vms-%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				report()
				o.reportEndedJobs(time.Now())
				o.storeMembers(b.Context())
				o.flush(b.Context())
				o.sendOrders()
				o.drainEvents()
			}
		})
		b.Run(fmt.Sprintf("checks/vms-%d", vms), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				for range vms / 10 {
					report()
				}
				b.StartTimer()
				o.runChecks(b.Context(), time.Now())
			}
		})
	}
}

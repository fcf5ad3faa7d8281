package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"bamboospread/internal/fleet/describer"
	"bamboospread/internal/operator/requester"
	"bamboospread/internal/standin/worker"
	"bamboospread/internal/wire/messenger"
	"bamboospread/tests/harness"
)

// Short leases keep these tests short; the guarantees hold for any lease times.
const (
	testOwnerLease  = 2 * time.Second
	testVMLease     = 2 * time.Second
	testOutageLease = 6 * time.Second
	pastLeaseTime   = 3 * time.Second // longer than the owner's and a VM's lease
	absenceTime     = 5 * time.Second // long enough for a VM's tasks to restart elsewhere
	completionLimit = 60 * time.Second
	vmProcessors    = 16000
)

// upstreamNeeds is what the upstream on each VM occupies according to harness.FleetText.
var upstreamNeeds = describer.Resources{Millicores: 8000, MemoryBytes: 16 << 30}

// cellTestbed is a cluster under load and faults.
type cellTestbed struct {
	*harness.Cluster
	t        *testing.T
	random   *rand.Rand
	operator *requester.Requester

	mu          sync.Mutex
	accepted    map[string]bool
	unreachable map[string]bool // VMs whose reports may arrive after their lease has expired
	zoneChanges int
}

func newCellTestbed(t *testing.T, seed uint64, vms int, fleetText string) *cellTestbed {
	t.Helper()
	return newLinkedCellTestbed(t, seed, vms, fleetText, false)
}

// newLinkedCellTestbed returns a testbed in which, with links, agents reach their workers and upstreams
// through proxies.
func newLinkedCellTestbed(t *testing.T, seed uint64, vms int, fleetText string, links bool, entryArgs ...string) *cellTestbed {
	t.Helper()
	k := harness.New(t, harness.Config{
		Entries: 2, VMs: vms, LocalLinks: links,
		EntryArgs: append([]string{
			"--owner-lease", testOwnerLease.String(), "--vm-lease", testVMLease.String(),
			"--outage-lease", testOutageLease.String(), "--log-level", "info",
		}, entryArgs...),
		WorkerArgs: []string{"--millicores", fmt.Sprint(vmProcessors), "--memory-bytes", fmt.Sprint(64 << 30)},
	})
	k.ApplyFleet(fleetText)
	r := &cellTestbed{
		Cluster: k, t: t, random: rand.New(rand.NewPCG(seed, 1)), operator: k.Operator(),
		accepted: make(map[string]bool), unreachable: make(map[string]bool),
	}
	harness.WaitFor(t, 20*time.Second, "owner to list all VMs and upstreams", func(ctx context.Context) error {
		s, err := r.operator.GetStatus(ctx)
		listed := 0
		for _, vm := range s.VMs {
			if vm.Committed == upstreamNeeds {
				listed++
			}
		}
		if err == nil && listed < vms {
			err = fmt.Errorf("%d of %d", listed, vms)
		}
		return err
	})
	return r
}

// ownerIndex returns the index of the entry that owns the cell.
func (r *cellTestbed) ownerIndex() int {
	r.t.Helper()
	owner := 0
	harness.WaitFor(r.t, 30*time.Second, "an owner", func(ctx context.Context) error {
		s, err := r.operator.GetStatus(ctx)
		for i, e := range r.Entries {
			if err == nil && e.Name == s.Owner {
				owner = i
				return nil
			}
		}
		return fmt.Errorf("owner %q: %v", s.Owner, err)
	})
	return owner
}

// submitUntil submits two tasks per interval until ctx ends, whose run times and resource
// use differ widely from what they declare.
func (r *cellTestbed) submitUntil(ctx context.Context, class string, interval time.Duration, runMillis func() int64) {
	random := rand.New(rand.NewPCG(uint64(r.draw(1<<30)), 2))
	for n := 0; ctx.Err() == nil; n++ {
		var specs []messenger.TaskSpec
		for i := range 2 {
			payload, _ := json.Marshal(map[string]int64{
				"run-ms": runMillis(), "use-millicores": random.Int64N(8000), "use-memory-bytes": random.Int64N(32 << 30),
			})
			specs = append(specs, messenger.TaskSpec{
				ID: fmt.Sprintf("%s-%d-%d", class, n, i), Tenant: "packhouse", Class: class, Payload: string(payload),
				RunTimeMillis: 1 + random.Int64N(20000),
			})
		}
		r.submit(ctx, specs)
		sleepFor(ctx, interval)
	}
}

// submit retries a submission until its outcome is known. A submission that the end of
// ctx interrupts may be accepted or not and is not counted as accepted.
func (r *cellTestbed) submit(ctx context.Context, specs []messenger.TaskSpec) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, 2*time.Second)
		reply, err := r.operator.Submit(limited, specs)
		cancel()
		if err != nil {
			sleepFor(ctx, 100*time.Millisecond)
			continue
		}
		r.mu.Lock()
		for _, v := range reply.Results {
			if !v.Accepted {
				r.t.Errorf("%s refused: %s", v.ID, v.Reason)
			}
			r.accepted[v.ID] = true
		}
		r.mu.Unlock()
		return
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runUnderFaults runs load while the faults are injected, one after the other or
// concurrently, then waits until every accepted task has completed.
func (r *cellTestbed) runUnderFaults(load func(context.Context), concurrent bool, faults ...cellFault) {
	r.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	loaded := make(chan struct{})
	go func() { defer close(loaded); load(ctx) }()
	time.Sleep(time.Second)
	if concurrent {
		var wait sync.WaitGroup
		for _, f := range faults {
			wait.Go(func() { f.inject(r) })
		}
		wait.Wait()
	} else {
		for _, f := range faults {
			f.inject(r)
		}
	}
	r.ClearFaults()
	time.Sleep(500 * time.Millisecond)
	cancel()
	<-loaded
	r.awaitCompleted()
}

// awaitCompleted waits until the workers have recorded the completion of each accepted
// task.
func (r *cellTestbed) awaitCompleted() {
	r.t.Helper()
	deadline := time.Now().Add(completionLimit)
	for {
		done := make(map[string]bool)
		for _, e := range r.TaskEvents() {
			if e.Event == worker.EventCompleted {
				done[e.Task] = true
			}
		}
		var unfinished []string
		for id := range r.accepted {
			if !done[id] {
				unfinished = append(unfinished, id)
			}
		}
		if len(unfinished) == 0 {
			r.t.Logf("%d tasks completed", len(done))
			return
		}
		if time.Now().After(deadline) {
			s, err := r.operator.GetStatus(context.Background())
			explanation, _ := r.operator.Explain(context.Background(), "task", unfinished[0])
			r.t.Fatalf("%d of %d accepted tasks never completed, one of them %s; status %+v, %v; %+v", len(unfinished), len(r.accepted), unfinished[0], s, err, explanation)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkNoDuplicates fails if the workers recorded a task in two places at the same time,
// an attempt twice, an attempt number that does not increase, or a second completion. A
// VM that was unreachable past its lease may have completed a task without being able to
// report it; only then the task may run again.
func (r *cellTestbed) checkNoDuplicates() {
	r.t.Helper()
	running := make(map[string]map[string]time.Time)
	last, completed := make(map[string]int64), make(map[string]string)
	starts, repeated := 0, 0
	for _, e := range r.TaskEvents() {
		if e.Service != "" {
			continue
		}
		at := fmt.Sprintf("%s attempt %d", e.VM, e.Attempt)
		if running[e.Task] == nil {
			running[e.Task] = make(map[string]time.Time)
		}
		switch e.Event {
		case worker.EventStart:
			starts++
			for other, since := range running[e.Task] {
				r.t.Errorf("%s runs twice: started on %s while on %s since %s", e.Task, at, other, e.Time.Sub(since))
			}
			if e.Attempt <= last[e.Task] {
				r.t.Errorf("%s started on %s after attempt %d", e.Task, at, last[e.Task])
			}
			last[e.Task] = e.Attempt
			running[e.Task][at] = e.Time
		case worker.EventCompleted:
			if vm, twice := completed[e.Task]; twice {
				repeated++
				if !r.unreachable[vm] {
					r.t.Errorf("%s completed on %s and again on %s", e.Task, vm, at)
				}
			}
			completed[e.Task] = e.VM
			delete(running[e.Task], at)
		default:
			delete(running[e.Task], at)
		}
	}
	r.t.Logf("%d starts of %d tasks; %d completed again after an unreported completion on an unreachable VM (%s)",
		starts, len(last), repeated, strings.Join(keys(r.unreachable), ", "))
}

func keys(m map[string]bool) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	return out
}

// checkCapacity fails if tasks and the upstream together ever exceeded a VM's capacity.
func (r *cellTestbed) checkCapacity() {
	r.t.Helper()
	total := describer.Resources{Millicores: vmProcessors, MemoryBytes: 64 << 30}
	full := 0
	for _, e := range r.TaskEvents() {
		held := e.Committed.Add(upstreamNeeds)
		if !held.Fits(total) {
			r.t.Errorf("%s is committed for %+v at %s of %s", e.VM, held, e.Event, e.Task)
		}
		if held.Millicores == total.Millicores {
			full++
		}
	}
	r.t.Logf("all processors of a VM were committed %d times", full)
}

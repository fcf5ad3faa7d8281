package placer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bamboospread/internal/fleet/describer"
)

func TestSharesConverge(t *testing.T) {
	// Each tenant has more queued tasks than fit, and tasks end at random.
	// Dominant shares divided by the weights must be within one task of the
	// tenant with the smallest weight after each round: each start goes to the
	// tenant with the least, so none gets further ahead than by its last start.
	rapid.Check(t, func(t *rapid.T) {
		weights := []float64{1, rapid.Float64Range(0.5, 3).Draw(t, "w1"), rapid.Float64Range(0.5, 3).Draw(t, "w2")}
		var tenants []describer.Tenant
		for i, weight := range weights {
			tenants = append(tenants, describer.Tenant{Name: fmt.Sprint("t", i), Weight: weight})
		}
		m := cellModel{s: Snapshot{Now: start, Fleet: describer.New(fleetOf(tenants...)), VMs: vmsOf(3, "a", "b")}}
		for i := range 900 {
			m.s.Queued = append(m.s.Queued, queued(fmt.Sprint(i), fmt.Sprint("t", i/300), cores(1)))
		}
		p := New(Config{})
		for range 30 {
			m.s.Now = m.s.Now.Add(time.Second)
			m.apply(p.Plan(m.s))
			checkShares(t, &m, weights)
			for range 5 {
				m.end(m.s.Placed[rapid.IntRange(0, len(m.s.Placed)-1).Draw(t, "ends")].ID)
			}
		}
		m.apply(p.Plan(m.s))
		checkShares(t, &m, weights)
	})
}

func checkShares(t *rapid.T, m *cellModel, weights []float64) {
	used := make([]float64, len(weights))
	for _, task := range m.s.Placed {
		used[task.Tenant[1]-'0']++
	}
	least, most, tolerance := math.Inf(1), 0.0, 0.0
	for i, n := range used {
		least, most = min(least, n/weights[i]), max(most, n/weights[i])
		tolerance = max(tolerance, 1/weights[i])
	}
	if most-least > tolerance+1e-9 {
		t.Fatalf("shares %v with weights %v", used, weights)
	}
}

func TestOrderOfStarts(t *testing.T) {
	urgent := queued("urgent", "t1", cores(16))
	urgent.Urgent = true
	replica := queued("replica", "t1", cores(16))
	replica.Service = "depth"
	backoff := queued("backoff", "t0", cores(1))
	backoff.NotBefore = start.Add(time.Minute)
	cases := []struct {
		name   string
		quota  int64
		queue  []Task
		starts []string
		waits  map[string]string // substrings of the reasons
	}{
		{
			name: "urgent task goes first", queue: []Task{queued("plain", "t0", cores(32)), urgent},
			starts: []string{"urgent"}, waits: map[string]string{"plain": "not enough free capacity"},
		},
		{
			name: "replica goes before urgent task", queue: []Task{queued("big", "t0", cores(32)), urgent, replica},
			starts: []string{"replica", "urgent"}, waits: map[string]string{"big": "not enough free capacity"},
		},
		{
			name: "urgent task stays within the quota", quota: 20, queue: []Task{urgent, queued("plain", "t1", cores(10)), queued("small", "t1", cores(4))},
			starts: []string{"urgent", "small"}, waits: map[string]string{"plain": "quota of tenant t1"},
		},
		{
			name: "task in backoff does not block others", queue: []Task{backoff, queued("plain", "t0", cores(1))},
			starts: []string{"plain"}, waits: map[string]string{"backoff": "backoff after a failure until"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := describer.New(fleetOf(describer.Tenant{Name: "t0", Weight: 1}, describer.Tenant{Name: "t1", Weight: 1, Quota: describer.Resources{Millicores: c.quota * 1000}}))
			plan := New(Config{}).Plan(Snapshot{Now: start, Fleet: f, VMs: vmsOf(1, "a"), Queued: c.queue})
			var starts []string
			for _, s := range plan.Starts {
				starts = append(starts, s.TaskID)
				checkReason(t, s.Reason)
			}
			if diff := cmp.Diff(c.starts, starts); diff != "" {
				t.Error(diff)
			}
			for id, part := range c.waits {
				if !strings.Contains(plan.Waits[id], part) {
					t.Errorf("%s waits for %q, want %q", id, plan.Waits[id], part)
				}
			}
		})
	}
}

func TestLargeTaskDoesNotStarve(t *testing.T) {
	// Small tasks keep arriving and use freed capacity before enough of it is
	// free for the large task. Once the large task has waited long enough, a VM
	// is reserved for it and it starts.
	m := cellModel{s: Snapshot{Now: start, Fleet: describer.New(fleetOf()), VMs: vmsOf(3, "a")}}
	p := New(Config{})
	large := queued("large", "t0", cores(30))
	next := 0
	for round := range 200 {
		for range 10 {
			m.s.Queued = append(m.s.Queued, queued(fmt.Sprint(next), "t1", cores(2)))
			next++
		}
		if round == 10 {
			large.Submitted = m.s.Now
			m.s.Queued = append(m.s.Queued, large)
		}
		m.apply(p.Plan(m.s))
		if m.placed("large") != nil {
			return
		}
		for range 5 { // the oldest tasks end
			m.end(m.s.Placed[0].ID)
		}
		m.s.Now = m.s.Now.Add(time.Second)
	}
	t.Fatal("the large task never started")
}

func TestHolds(t *testing.T) {
	failed := queued("failed", "t0", cores(1))
	failed.Avoid = map[string]bool{"vm-00": true, "vm-01": true}
	cases := []struct {
		name         string
		task         Task
		unreconciled bool
		reason       string // substring; empty if not held
		starts       bool
	}{
		{name: "larger than every VM", task: queued("x", "t0", cores(33)), reason: "more than any VM"},
		{name: "no accelerators", task: queued("x", "t0", describer.Resources{Accelerators: 1}), reason: "more than any VM"},
		{name: "larger than the quota", task: queued("x", "t1", cores(9)), reason: "quota of tenant t1"},
		{name: "failed on every VM", task: failed, starts: true},
		{name: "while VMs are still unknown", task: queued("x", "t0", cores(33)), unreconciled: true},
		{name: "fits a VM", task: queued("x", "t0", cores(32)), starts: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := describer.New(fleetOf(describer.Tenant{Name: "t1", Quota: cores(8)}))
			plan := New(Config{}).Plan(Snapshot{Now: start, Fleet: f, VMs: vmsOf(2, "a"), Queued: []Task{c.task}, Unreconciled: c.unreconciled})
			got := ""
			if len(plan.Holds) > 0 {
				got = plan.Holds[0].Reason
			}
			if (c.reason == "") != (got == "") || !strings.Contains(got, c.reason) {
				t.Errorf("held with %q, want %q", got, c.reason)
			}
			if (len(plan.Starts) == 1) != c.starts {
				t.Errorf("starts %v, want one: %v", plan.Starts, c.starts)
			}
		})
	}
}

package main

import "testing"

func TestRunsKeepTheBounds(t *testing.T) {
	// A run over the whole hour, a zone leaving and returning in it: no start
	// exceeds a VM or goes to the zone that is out, and each task that arrived
	// is completed, on a VM or in the queue once.
	for _, v := range variants()[:1] {
		r := newRunner(users()[0], v, 1)
		all := len(r.pool.truth.arrivals)
		result := r.run()
		if result.broken != 0 {
			t.Errorf("%s: %d starts broke a bound", v.name, result.broken)
		}
		seen := make(map[string]int)
		for _, q := range r.pool.queue {
			seen[q.ID]++
		}
		for _, m := range r.pool.vms {
			for _, q := range m.tasks {
				seen[q.ID]++
			}
		}
		for id, q := range r.pool.tasks {
			if done := q.done >= q.arrival.runTime; !done && seen[id] != 1 || done && seen[id] > 0 {
				t.Errorf("%s: task %s is in %d places, done %v", v.name, id, seen[id], done)
			}
		}
		if len(r.pool.tasks) != all {
			t.Errorf("%s: %d of %d tasks arrived", v.name, len(r.pool.tasks), all)
		}
	}
}

func TestRunsRepeat(t *testing.T) {
	// The same seed gives the same figures, so that a table can be reproduced.
	one := newRunner(users()[1], variants()[0], 3).run()
	two := newRunner(users()[1], variants()[0], 3).run()
	if one.work != two.work || one.p99() != two.p99() || one.evictions != two.evictions {
		t.Errorf("two runs of a seed: work %v and %v, p99 %v and %v", one.work, two.work, one.p99(), two.p99())
	}
}

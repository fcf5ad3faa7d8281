package main

import "testing"

func TestRunsRespectCapacityAndZones(t *testing.T) {
	// In a run over the whole hour, with one zone out for a part of it, no start
	// exceeds the capacity of a VM or goes to the zone that is out, and each task that
	// arrived is either completed, or exactly once on a VM or in the queue.
	for _, v := range variants()[:1] {
		r := newRunner(users()[0], v, 1)
		arrivalCount := len(r.pool.truth.arrivals)
		result := r.run()
		if result.violations != 0 {
			t.Errorf("%s: %d starts exceeded a VM or went to a zone that was out", v.name, result.violations)
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
		if len(r.pool.tasks) != arrivalCount {
			t.Errorf("%s: %d of %d tasks arrived", v.name, len(r.pool.tasks), arrivalCount)
		}
	}
}

func TestRunsAreReproducible(t *testing.T) {
	// Runs with the same seed have the same results, so that tables can be reproduced.
	first := newRunner(users()[1], variants()[0], 3).run()
	second := newRunner(users()[1], variants()[0], 3).run()
	if first.work != second.work || first.p99() != second.p99() || first.evictions != second.evictions {
		t.Errorf("two runs of a seed: work %v and %v, p99 %v and %v", first.work, second.work, first.p99(), second.p99())
	}
}

package main

import (
	"errors"
	"fmt"
	"time"
)

// Times of the case.
const (
	lateWork = "work-ms 12000"
	// untilLateCrash and lateDown are together less than the 12 s after which a late order is carried out at the latest.
	untilLateCrash = 4 * time.Second
	lateDown       = 2 * time.Second
	afterLate      = 8 * time.Second
)

// lateStart lets a runner leave one start without an answer, crash, and carry the start out first of all
// after it has started again under its id.
func lateStart(d *deployment, disturbed bool) ([]string, error) {
	r := d.runners[0]
	if disturbed {
		r.keepNextStart()
	}
	// The second submission takes room on the rack of the runner, so that the task of the first one starts elsewhere.
	for n, step := range []map[string]any{
		{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 12000},
		{"count": 3, "cpu": 10_000, "mem_mb": 100, "estimate_ms": 12000, "max_per_server": 1, "affinity": r.rack},
	} {
		err := d.submit(fmt.Sprintf("%016x", n+1), map[string]any{"spec": lateWork, "steps": []map[string]any{step}})
		if err != nil {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(untilLateCrash)
	if disturbed && !r.crashAndCarryOut(lateDown) {
		return nil, errors.New("no start reached the runner")
	}
	time.Sleep(lateDown + afterLate)
	return d.record.twice(), nil
}

package main

import (
	"fmt"
	"time"
)

// The submissions of the case: a wide one, whose data lies on one rack, and small ones.
const (
	wideTasks    = 16_000
	wideWork     = "work-ms 30000"
	smallWork    = "work-ms 500"
	smallTasks   = 4
	smallPause   = 500 * time.Millisecond
	dataRack     = "r1-0"
	untilCrash   = 25 * time.Second
	rackDownTime = 2 * time.Second
	// calmTime is without any disruption, before and while the small submissions are made.
	calmTime   = 10 * time.Second
	smallTime  = 15 * time.Second
	ackTimeout = 4 * time.Second
)

// rack lets all runners of a rack crash on which a wide submission runs, and hands small submissions in
// afterwards.
func rack(d *deployment, disturbed bool) ([]string, error) {
	err := d.submit("5c0e7a21d94b36f8", map[string]any{
		"spec": wideWork, "steps": []map[string]any{{"count": wideTasks, "cpu": 10, "mem_mb": 10, "estimate_ms": 30000, "affinity": dataRack}},
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(untilCrash)
	if disturbed {
		for _, r := range d.runners {
			if r.rack == dataRack {
				r.crash(rackDownTime)
			}
		}
	}
	time.Sleep(calmTime)
	began := time.Now()
	var ids []string
	for time.Since(began) < smallTime {
		id := fmt.Sprintf("%016x", 1+len(ids))
		err := d.submit(id, map[string]any{
			"spec": smallWork, "steps": []map[string]any{{"count": smallTasks, "cpu": 500, "mem_mb": 100, "estimate_ms": 500}},
		})
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
		time.Sleep(smallPause)
	}
	time.Sleep(2 * ackTimeout)
	late, all := d.record.unnoted(began, ackTimeout)
	for _, id := range ids {
		if _, _, err := d.call(d.entries[0].name, "GET", prefix+id, nil); err != nil {
			return nil, err
		}
	}
	d.record.note("%d of %d ends that runners have listed since the small submissions began are not taken note of", len(late), all)
	if len(late)*5 <= all {
		return nil, nil
	}
	return late, nil
}

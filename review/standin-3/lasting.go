package main

import (
	"fmt"
	"time"
)

// The submission of the case has tasks that last.
const (
	lastingID    = "5c0e7a21d94b36f8"
	lastingTasks = 4
	lastingWork  = "work-ms 3600000" // longer than the test
	untilEnd     = 6 * time.Second
	// restartLimit is the time after its last run in which a task that lasts has to be at work again: 6 s, and
	// 3 s in which it has nothing running while there is capacity.
	restartLimit = 9 * time.Second
	afterEnd     = 15 * time.Second
)

// lasting ends a run of a task that lasts with `done`.
func lasting(d *deployment, disturbed bool) ([]string, error) {
	err := d.submit(lastingID, map[string]any{
		"spec": lastingWork, "steps": []map[string]any{{"count": lastingTasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": 300, "long_running": true, "image": "listener"}},
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(untilEnd)
	task := lastingID + ".0.0.0"
	if disturbed {
		for _, r := range d.runners {
			r.endTask(task, "done")
		}
	}
	time.Sleep(afterEnd)
	if _, _, err := d.call(d.entries[0].name, "GET", prefix+lastingID, nil); err != nil {
		return nil, err
	}
	var found []string
	for n := range lastingTasks {
		if text := d.record.notRestarted(fmt.Sprintf("%s.0.0.%d", lastingID, n), restartLimit); text != "" {
			found = append(found, text)
		}
	}
	return found, nil
}

// endTask ends a run of a task by itself, if the runner has one.
func (r *runner) endTask(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.running[task]; t != nil {
		r.record.note("run %d of %s ends %s by itself on %s", t.number, task, how, r.id)
		r.finishLocked(t, how)
	}
}
